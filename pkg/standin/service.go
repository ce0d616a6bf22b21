package standin

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/target"
)

// ServiceFaults are the faults that a plain service injects.
type ServiceFaults struct {
	DelayMS int `json:"delay-ms"`
	// DropResponses makes the service run calls without sending a response.
	DropResponses bool `json:"drop-answers"`
}

// PlainService is a fake of a service with non-idempotent calls. It counts the
// runs per idempotency key and doesn't prevent a repeated run.
type PlainService struct {
	name string

	mu     sync.Mutex
	runs   map[string]int
	faults ServiceFaults
}

// NewPlainService returns a service without runs.
func NewPlainService(name string) *PlainService {
	return &PlainService{name: name, runs: make(map[string]int)}
}

// Runs returns the number of runs per idempotency key.
func (s *PlainService) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// SetFaults replaces the faults.
func (s *PlainService) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *PlainService) run(key string) (int, ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	return s.runs[key], s.faults
}

// Client returns the client that agents use. It calls the service directly,
// without a network.
func (s *PlainService) Client() *target.Service {
	return &target.Service{Call: func(in target.ServiceCall, _ time.Time) (target.ServiceAnswer, error) {
		if in.Path == "/healthz" {
			return target.ServiceAnswer{Status: fasthttp.StatusOK}, nil
		}
		n, faults := s.run(in.Key)
		time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
		if faults.DropResponses {
			return target.ServiceAnswer{}, errors.New("connection closed")
		}
		return target.ServiceAnswer{Status: fasthttp.StatusOK, ContentType: "text/plain", Body: []byte(booking(in.Key, n))}, nil
	}}
}

func booking(key string, n int) string { return fmt.Sprintf("%s-%d", key, n) }

func (s *PlainService) serve(ctx *fasthttp.RequestCtx) {
	key := string(ctx.Request.Header.Peek(target.HeaderIdempotencyKey))
	n, faults := s.run(key)
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	if faults.DropResponses {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		return
	}
	writeJSON(ctx, map[string]string{"service": s.name, "booking": booking(key, n)})
}

// Register adds the service's HTTP routes to the router.
func (s *PlainService) Register(r *router.Router) {
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") })
	r.GET("/runs", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, s.Runs()) })
	r.POST("/faults", func(ctx *fasthttp.RequestCtx) {
		var f ServiceFaults
		if readJSON(ctx, &f) {
			s.SetFaults(f)
		}
	})
	r.ANY("/call/{path:*}", s.serve)
}
