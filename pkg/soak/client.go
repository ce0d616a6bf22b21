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

// The prefixes of the routes.
const (
	draftPrefix = "/draft/" // a stream that can resume
	notePrefix  = "/note/"  // a stream that runs once
	bookPrefix  = "/book/"  // runs at most once
	lookPrefix  = "/look/"  // idempotent
)

const (
	// thinkTime is the mean pause of a client between two requests.
	thinkTime = 120 * time.Millisecond
	// leaveShare of the requests are given up after leaveAfter.
	leaveShare = 0.04
	leaveAfter = 150 * time.Millisecond
	streamSize = 20 // events
	streamWait = 12 * time.Second
	plainWait  = 2 * time.Second
	// headSkew makes few adapters popular: the share of the first tenth.
	headSkew = 0.6
)

// client sends one request after the other over connections that it keeps.
type client struct {
	d      *deployment
	number int
	random *rand.Rand
	http   *http.Client
	try    atomic.Int64 // of the connection; another try reaches another entry
	sent   int
}

func newClient(d *deployment, number int) *client {
	c := &client{d: d, number: number, random: rand.New(rand.NewPCG(d.Seed, uint64(number)+10))}
	c.http = &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return d.balancer.Dial(ctx, number, int(c.try.Load()))
		},
	}}
	return c
}

// run sends requests until ctx ends. Requests under way are finished.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		retryAfter := c.once(c.draw())
		if retryAfter > 0 {
			c.try.Add(1)
			c.http.CloseIdleConnections()
			time.Sleep(retryAfter)
		}
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(thinkTime)))
	}
	c.http.CloseIdleConnections()
}

// ask is one request to send.
type ask struct {
	Request
	method, path string
	stream       bool
	wait         time.Duration
	leaves       bool
}

func (c *client) draw() ask {
	c.sent++
	a := ask{method: http.MethodPost, wait: plainWait, leaves: c.random.Float64() < leaveShare}
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
		a.Service, a.Adapter, a.wait = draftService, drawAdapter(c.random), streamWait
	}
	return a
}

// drawAdapter draws an adapter, of which few are popular.
func drawAdapter(random *rand.Rand) ident.Adapter {
	n := random.IntN(adapters)
	if random.Float64() < headSkew {
		n = random.IntN(adapters / 10)
	}
	return ident.Adapter("a" + strconv.Itoa(n+1))
}

// once sends one request, and returns when a refused one may return.
func (c *client) once(a ask) time.Duration {
	wait := a.wait
	if a.leaves {
		wait = leaveAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, a.method, "http://"+standin.OperatorHost+a.path+"x", nil)
	if err != nil {
		c.d.oracle.Broken(Violation{PromiseWhole, a.Attempt, err.Error()})
		return 0
	}
	if a.method == http.MethodPost {
		req.Body = io.NopCloser(strings.NewReader("{}"))
		req.ContentLength = 2
	}
	req.Header.Set(platform.HeaderAttempt, string(a.Attempt))
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(a.wait.Milliseconds(), 10))
	if a.stream {
		req.Header.Set(platform.HeaderModel, string(model)+"/"+string(a.Adapter))
		req.Header.Set(platform.HeaderTokenCount, "100,"+strconv.Itoa(streamSize))
	}
	a.At = time.Now()
	c.d.oracle.Asked(a.Request)
	answer, retryAfter := c.exchange(req, a)
	answer.Left = a.leaves && ctx.Err() != nil
	answer.At = time.Now()
	c.d.oracle.Answered(a.Attempt, answer)
	return retryAfter
}

func (c *client) exchange(req *http.Request, a ask) (Answer, time.Duration) {
	res, err := c.http.Do(req)
	if err != nil {
		c.try.Add(1)
		return Answer{}, 0
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	answer := Answer{Status: res.StatusCode, Whole: err == nil}
	answer.Right = answer.Whole && res.Header.Get(platform.HeaderAttempt) == string(a.Attempt) &&
		res.Header.Get(platform.HeaderSignature) == standin.WorkerSignature(a.Attempt) && bytes.Equal(body, expected(a))
	if res.StatusCode != http.StatusServiceUnavailable {
		return answer, 0
	}
	seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	if err != nil {
		return answer, 0
	}
	return answer, min(time.Duration(seconds*float64(time.Second)), a.wait/3)
}

// expected is the whole answer to a request.
func expected(a ask) []byte {
	if !a.stream {
		return []byte(standin.WorkerBody(a.Attempt))
	}
	var b bytes.Buffer
	for n := 1; n <= streamSize; n++ {
		b.WriteString(standin.WorkerEventText(a.Attempt, n))
	}
	return b.Bytes()
}

// probeAttempt names the request that asks an entry for an added route.
func probeAttempt(seed uint64, gateway, n int) ident.Attempt {
	return ident.Attempt(fmt.Sprintf("%d-probe-%d-%d", seed, gateway, n))
}
