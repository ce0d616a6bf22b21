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
)

const (
	// thinkTime is the mean pause of a client between two requests.
	thinkTime = 120 * time.Millisecond
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
	dialNumber atomic.Int64 // passed to the balancer; another number reaches another entry
	sent       int
}

func newClient(d *deployment, number int) *client {
	c := &client{d: d, number: number, random: rand.New(rand.NewPCG(d.Seed, uint64(number)+10))}
	c.http = &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return d.balancer.Dial(ctx, number, int(c.dialNumber.Load()))
		},
	}}
	return c
}

// run sends requests until ctx is done. It completes the request in progress.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		retryAfter := c.send(c.nextRequest())
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
	timeout      time.Duration
	disconnects  bool
}

func (c *client) nextRequest() clientRequest {
	c.sent++
	a := clientRequest{method: http.MethodPost, timeout: plainTimeout, disconnects: c.random.Float64() < disconnectShare}
	a.Attempt = ident.Attempt(fmt.Sprintf("%d-%d-%d", c.d.Seed, c.number, c.sent))
	a.Service = deskService
	switch p := c.random.Float64(); {
	case p < 0.35:
		a.path, a.Idempotent = draftPrefix, true
	case p < 0.6:
		a.path = notePrefix
	case p < 0.8:
		a.path = bookPrefix
	default:
		a.method, a.path, a.Idempotent = http.MethodGet, lookPrefix, true
	}
	if a.stream = a.path == draftPrefix || a.path == notePrefix; a.stream {
		a.Service, a.Adapter, a.timeout = draftService, randomAdapter(c.random), streamTimeout
	}
	return a
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
func (c *client) send(a clientRequest) time.Duration {
	timeout := a.timeout
	if a.disconnects {
		timeout = disconnectAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, a.method, "http://"+standin.OperatorHost+a.path+"x", nil)
	if err != nil {
		c.d.oracle.RecordViolation(Violation{GuaranteeCompleteAnswer, a.Attempt, err.Error()})
		return 0
	}
	if a.method == http.MethodPost {
		req.Body = io.NopCloser(strings.NewReader("{}"))
		req.ContentLength = 2
	}
	req.Header.Set(platform.HeaderAttempt, string(a.Attempt))
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(a.timeout.Milliseconds(), 10))
	if a.stream {
		req.Header.Set(platform.HeaderModel, string(model)+"/"+string(a.Adapter))
		req.Header.Set(platform.HeaderTokenCount, "100,"+strconv.Itoa(streamLength))
	}
	a.At = time.Now()
	c.d.oracle.RecordRequest(a.Request)
	answer, retryAfter := c.roundTrip(req, a)
	answer.Disconnected = a.disconnects && ctx.Err() != nil
	answer.At = time.Now()
	c.d.oracle.RecordAnswer(a.Attempt, answer)
	return retryAfter
}

func (c *client) roundTrip(req *http.Request, a clientRequest) (Answer, time.Duration) {
	res, err := c.http.Do(req)
	if err != nil {
		c.dialNumber.Add(1)
		return Answer{}, 0
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	answer := Answer{Status: res.StatusCode, Complete: err == nil}
	answer.Correct = answer.Complete && res.Header.Get(platform.HeaderAttempt) == string(a.Attempt) &&
		res.Header.Get(platform.HeaderSignature) == standin.WorkerSignature(a.Attempt) && bytes.Equal(body, expectedBody(a))
	if res.StatusCode != http.StatusServiceUnavailable {
		return answer, 0
	}
	seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	if err != nil {
		return answer, 0
	}
	return answer, min(time.Duration(seconds*float64(time.Second)), a.timeout/3)
}

// expectedBody returns the complete response body for a request.
func expectedBody(a clientRequest) []byte {
	if !a.stream {
		return []byte(standin.WorkerBody(a.Attempt))
	}
	var b bytes.Buffer
	for n := 1; n <= streamLength; n++ {
		b.WriteString(standin.WorkerEventText(a.Attempt, n))
	}
	return b.Bytes()
}

// probeAttempt returns the attempt ID of a request that checks an added route.
func probeAttempt(seed uint64, gateway, n int) ident.Attempt {
	return ident.Attempt(fmt.Sprintf("%d-probe-%d-%d", seed, gateway, n))
}
