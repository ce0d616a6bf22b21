package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/platform"
)

// Path prefixes of the routes, one for each retry policy.
const (
	draftPrefix = "/draft/" // a stream that can resume
	notePrefix  = "/note/"  // a stream that runs once
	bookPrefix  = "/book/"  // runs at most once
	lookPrefix  = "/look/"  // idempotent
	openPrefix  = "/open/"  // idempotent and public
)

const (
	// thinkTime is the mean pause of a client between two requests.
	thinkTime = 120 * time.Millisecond
	// sameIDShare is the share of the refused requests that are sent again at once, with
	// the same ID.
	sameIDShare = 0.5
	// disconnectShare is the share of the requests whose caller disconnects after
	// disconnectAfter.
	disconnectShare = 0.04
	disconnectAfter = 150 * time.Millisecond
	streamLength    = 20 // events
	streamTimeout   = 12 * time.Second
	plainTimeout    = 2 * time.Second
	// popularShare is the minimum share of requests for the first tenth of the
	// adapters.
	popularShare = 0.6
)

// client sends requests one after another over keep-alive connections.
type client struct {
	d          *deployment
	number     int
	random     *rand.Rand
	http       *http.Client
	dialNumber atomic.Int64 // passed to the balancer; another number reaches another gateway
	sent       int
	quota      *quotaAccount // whose requests it sends; nil for none with a quota
	slow       bool          // it reads responses slowly
}

func newClient(d *deployment, number int, slow bool) *client {
	c := &client{d: d, number: number, slow: slow, random: rand.New(rand.NewPCG(d.Seed, uint64(number)+10))}
	c.http = &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			conn, err := d.balancer.Dial(ctx, number, int(c.dialNumber.Load()))
			if err == nil && slow {
				shrinkReceiveBuffer(conn)
			}
			return conn, err
		},
	}}
	return c
}

// run sends requests until ctx is done. It completes the request in progress.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		r := c.nextRequest()
		retryAfter := c.send(r)
		if retryAfter > 0 && c.quota == nil && c.random.Float64() < sameIDShare {
			retryAfter = c.send(r)
		}
		if retryAfter > 0 {
			c.dialNumber.Add(1)
			c.http.CloseIdleConnections()
			time.Sleep(retryAfter)
		}
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(thinkTime)))
	}
	c.http.CloseIdleConnections()
}

// clientRequest is a request to send.
type clientRequest struct {
	Request
	method, path string
	stream       bool
	statedTokens int // of output; some callers state none or too few
	promptTokens int
	eventBytes   int // least length of an event
	lastEvent    int // of the stream that the request takes up; 0 if it takes up none
	timeout      time.Duration
	disconnects  bool
	namedAccount string // that the caller names without being asked
}

func (c *client) nextRequest() clientRequest {
	c.sent++
	r := clientRequest{method: http.MethodPost, timeout: plainTimeout, disconnects: c.random.Float64() < disconnectShare}
	r.Attempt = ident.Attempt(fmt.Sprintf("%d-%d-%d", c.d.Seed, c.number, c.sent))
	r.Service, r.NeedsKey = deskService, true
	switch p := c.random.Float64(); {
	case p < 0.35:
		r.path, r.Idempotent = draftPrefix, true
	case p < 0.6:
		r.path = notePrefix
	case p < 0.8:
		r.path = bookPrefix
	case p < 0.95:
		r.method, r.path, r.Idempotent = http.MethodGet, lookPrefix, true
	default:
		r.method, r.path, r.Idempotent, r.NeedsKey = http.MethodGet, openPrefix, true, false
	}
	c.d.accounts.sign(&r, c.random)
	if r.stream = r.path == draftPrefix || r.path == notePrefix; r.stream {
		r.Service, r.Adapter, r.timeout = draftService, randomAdapter(c.random), streamTimeout
		r.statedTokens = statedTokens[c.random.IntN(len(statedTokens))]
		r.promptTokens = randomPrompt(c.random)
		if c.slow {
			r.eventBytes = slowEventBytes
		}
		if part := c.d.deadlyPart.Load(); part != nil && c.random.Float64() < deadlyShare {
			r.DeadlyPart = *part
		}
	}
	if deadly := c.d.deadly.Load(); deadly != nil && c.quota == nil && !c.slow && c.random.Float64() < deadlyShare {
		attempt := r.Attempt
		r = *deadly
		r.Attempt = attempt
	}
	return r
}

// statedTokens are the numbers of output tokens that callers state, each as often.
var statedTokens = []int{0, streamLength / 4, streamLength, streamLength, streamLength, streamLength}

const (
	// longShare is the share of streams with a long prompt, of up to longPrompt tokens. A
	// few of these fill an engine's memory.
	longShare   = 0.1
	longPrompt  = engineMemory / 3
	shortPrompt = 100
)

func randomPrompt(random *rand.Rand) int {
	if random.Float64() < longShare {
		return 1 + random.IntN(longPrompt)
	}
	return shortPrompt
}

// deadlyShare is the share of streams whose prompts have the deadly part, while there is one.
const deadlyShare = 0.15

// promptParts returns the parts of a prompt: one for the client, one that other clients
// share or the deadly one, and one of its own.
func promptParts(client int, r clientRequest) string {
	shared := ident.PromptPart("topic")
	if r.DeadlyPart != "" {
		shared = r.DeadlyPart
	}
	return fmt.Sprintf("c%d:40,%s:40,%s:20", client, shared, r.Attempt)
}

// randomAdapter picks an adapter. A tenth of the adapters get most requests.
func randomAdapter(random *rand.Rand) ident.Adapter {
	n := random.IntN(adapters)
	if random.Float64() < popularShare {
		n = random.IntN(adapters / 10)
	}
	return ident.Adapter("a" + strconv.Itoa(n+1))
}

// send sends one request. If it is refused, send returns the delay before the
// next request.
func (c *client) send(r clientRequest) time.Duration {
	timeout := r.timeout
	if r.disconnects {
		timeout = disconnectAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+standin.OperatorHost+r.path+"x", nil)
	if err != nil {
		c.d.oracle.RecordViolation(Violation{GuaranteeCompleteAnswer, r.Attempt, err.Error()})
		return 0
	}
	if r.method == http.MethodPost {
		req.Body = io.NopCloser(strings.NewReader("{}"))
		req.ContentLength = 2
		if c.random.Float64() < lateBodyShare {
			req.Body, req.ContentLength = io.NopCloser(newLateBody("{}", c.random)), -1
		}
	}
	req.Header.Set(platform.HeaderAttempt, string(r.Attempt))
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(r.timeout.Milliseconds(), 10))
	r.setKeyHeaders(req.Header)
	if r.stream {
		req.Header.Set(platform.HeaderModel, string(model)+"/"+string(r.Adapter))
		req.Header.Set(platform.HeaderTokenCount, strconv.Itoa(r.promptTokens)+","+strconv.Itoa(r.statedTokens))
		req.Header.Set(standin.HeaderEventBytes, strconv.Itoa(r.eventBytes))
		req.Header.Set(standin.HeaderEvents, strconv.Itoa(streamLength))
		req.Header.Set(platform.HeaderPromptParts, promptParts(c.number, r))
	}
	if r.lastEvent > 0 {
		req.Header.Set(platform.HeaderLastEvent, strconv.Itoa(r.lastEvent))
		req.Header.Set(platform.HeaderResumes, string(r.Resumes))
	}
	c.sign(req, &r)
	r.At = time.Now()
	c.d.oracle.RecordRequest(r.Request)
	answer, retryAfter := c.roundTrip(req, r)
	answer.Disconnected = answer.Disconnected || r.disconnects && ctx.Err() != nil
	answer.At = time.Now()
	c.d.oracle.RecordAnswer(r.Attempt, answer)
	if r.path == draftPrefix && answer.brokeOff() && r.lastEvent == 0 {
		return c.send(r.takeUp(answer.Events))
	}
	return retryAfter
}

// brokeOff reports whether the response is the beginning of a stream.
func (a Answer) brokeOff() bool {
	return a.Status == http.StatusOK && !a.Complete && !a.Disconnected && a.Events > 0
}

// takeUp returns the request for the rest of a stream after an event.
func (r clientRequest) takeUp(lastEvent int) clientRequest {
	r.Resumes, r.lastEvent, r.disconnects = r.Attempt, lastEvent, false
	r.Attempt += "-rest"
	return r
}

func (c *client) roundTrip(req *http.Request, r clientRequest) (Answer, time.Duration) {
	res, err := c.http.Do(req)
	if err != nil {
		c.dialNumber.Add(1)
		return Answer{}, 0
	}
	defer res.Body.Close()
	reader, stuck := io.Reader(res.Body), false
	if r.eventBytes > 0 {
		reader, stuck = newSlowReader(reader, c.random)
	}
	body, err := io.ReadAll(reader)
	answer := Answer{Status: res.StatusCode, Complete: err == nil, Events: bytes.Count(body, []byte("\n\n")), Disconnected: stuck && err != nil}
	answer.Correct = answer.Complete && res.Header.Get(platform.HeaderAttempt) == string(r.Attempt) &&
		res.Header.Get(platform.HeaderSignature) == standin.WorkerSignature(r.Attempt) && bytes.Equal(body, expectedBody(r))
	if res.StatusCode != http.StatusServiceUnavailable {
		return answer, 0
	}
	seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	if err != nil {
		return answer, 0
	}
	return answer, min(time.Duration(seconds*float64(time.Second)), r.timeout/3)
}

// expectedBody returns the complete response body for a request.
func expectedBody(r clientRequest) []byte {
	if !r.stream {
		return []byte(standin.WorkerBody(r.Attempt))
	}
	var b bytes.Buffer
	for n := r.lastEvent + 1; n <= streamLength; n++ {
		b.WriteString(standin.WorkerEventText(r.Attempt, n, r.eventBytes))
	}
	return b.Bytes()
}

// probeAttempt returns the attempt ID of a request that checks an added route.
func probeAttempt(seed uint64, gateway, n int) ident.Attempt {
	return ident.Attempt(fmt.Sprintf("%d-probe-%d-%d", seed, gateway, n))
}
