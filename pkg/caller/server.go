// Package caller implements the HTTP API for callers: completions, chat
// completions and calls of plain services.
package caller

import (
	"bytes"
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fasthttp/router"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/catalog"
	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/dispatch"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/kernel"
	"github.com/hyssoproad/hyssoproad/pkg/ledger"
	"github.com/hyssoproad/hyssoproad/pkg/peer"
	"github.com/hyssoproad/hyssoproad/pkg/secure"
	"github.com/hyssoproad/hyssoproad/pkg/settings"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// The names of the HTTP headers of the caller API.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "Hyssoproad-Deadline-Ms"
	HeaderRequest        = "Hyssoproad-Request"
	HeaderAdapter        = "Hyssoproad-Adapter"
	HeaderTarget         = "Hyssoproad-Target"
	HeaderStall          = "Hyssoproad-Stall-Ms"
	HeaderRepeated       = "Hyssoproad-Repeated"
	// HeaderRepeat marks a request whose idempotency key the caller has sent
	// before.
	HeaderRepeat = "Hyssoproad-Repeat"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:    "caller",
		Provide: []any{New, NewDispatcher},
		Start:   func(*Server) {},
	})
}

// Server is the HTTP server for callers.
type Server struct {
	common.Common
	settings settings.CallerListener
	catalog  *catalog.Catalog
	run      func(context.Context, *dispatch.Job, dispatch.Output) dispatch.Result
	confirm  func(ident.Caller, string, bool, *dispatch.Refusal) *dispatch.Refusal
	// place tells where a job would go.
	place func(*dispatch.Job) dispatch.Placement
	// cancelAll ends the requests in progress.
	cancelAll func()
	// admissible returns an error while the entry must not admit requests.
	admissible func() error
	inFlight   inFlight
	stats      *RequestStats
	server     *fasthttp.Server
}

// NewDispatcher returns an entry's dispatcher, which uses the entry's peer p.
func NewDispatcher(c common.Common, p *peer.Peer, s settings.Entry) *dispatch.Dispatcher {
	d := dispatch.New(c, p.Table, s.Retry)
	d.Connect = p.Pool.Get
	d.Claim = p.Claim
	d.Settle = p.Settle
	d.UpdateConfigTo = p.UpdateConfigTo
	return d
}

// New returns the Server of an entry and adds its lifecycle hook.
func New(c common.Common, p *peer.Peer, d *dispatch.Dispatcher, s settings.Entry, life *kernel.Lifecycle) *Server {
	srv := NewServer(c, s.Callers, p.Config.Catalog(), p.CheckAdmission)
	srv.UseDispatcher(d)
	life.Append(kernel.Hook{
		Name:  "callers",
		Start: func(context.Context) error { return srv.start() },
		Stop:  func(ctx context.Context) error { return srv.stop(ctx, p.AnnounceDrain, s.StopGrace.Std()) },
		Faces: true,
	})
	return srv
}

// NewServer returns a Server that resolves requests against a catalog. UseDispatcher
// must be called before it serves.
func NewServer(c common.Common, s settings.CallerListener, cat *catalog.Catalog, admissible func() error) *Server {
	srv := &Server{
		Common: c.With("caller"), settings: s, catalog: cat, admissible: admissible,
		stats: newRequestStats(),
	}
	srv.inFlight.counts = make(map[ident.Caller]int)
	srv.server = &fasthttp.Server{
		Handler: srv.Handler(), Name: "hyssoproad", ErrorHandler: srv.handleReadError,
		MaxRequestBodySize: s.MaxBodyBytes, ReadBufferSize: s.MaxHeaderBytes,
		ReadTimeout: s.ReadTimeout.Std(), IdleTimeout: s.IdleTimeout.Std(), Concurrency: s.MaxConnections,
		NoDefaultServerHeader: true, CloseOnShutdown: true,
	}
	return srv
}

// UseDispatcher sets the dispatcher that runs the requests.
func (srv *Server) UseDispatcher(d *dispatch.Dispatcher) {
	srv.run = d.Run
	srv.confirm = d.ConfirmRefusal
	srv.cancelAll = d.CancelAll
	srv.place = d.Explain
}

// Handler returns the handler that routes callers' requests by path.
func (srv *Server) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/v1/completions", srv.serve(srv.completion))
	r.POST("/v1/chat/completions", srv.serve(srv.chat))
	r.ANY("/services/{service}/{path:*}", srv.serve(srv.call))
	r.NotFound = srv.serve(func(*exchange) *dispatch.Refusal {
		return notRun(404, "no-such-path", "the path is not served")
	})
	r.MethodNotAllowed = srv.serve(func(*exchange) *dispatch.Refusal {
		return notRun(405, "method-not-allowed", "the path does not take this method")
	})
	return r.Handler
}

func (srv *Server) start() error {
	listener, err := secure.Listen(srv.settings.Listen, srv.settings.TLS)
	if err != nil {
		return errors.Trace(err)
	}
	go func() {
		if err := srv.server.Serve(listener); err != nil {
			srv.Warn("msg", "caller listener failed", "err", err)
		}
	}()
	return nil
}

// answerShare is the share of the grace period after which requests in progress are ended,
// so that their callers still get an answer.
const answerShare = 0.9

// stop announces the drain and waits DrainDelay for the platform's load balancer
// to notice it. It then shuts the server down, which gives running requests the
// grace period to finish.
func (srv *Server) stop(ctx context.Context, announce func(context.Context), grace time.Duration) error {
	announce(ctx)
	time.Sleep(srv.settings.DrainDelay.Std())
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	abandon := time.AfterFunc(time.Duration(answerShare*float64(grace)), srv.cancelAll)
	defer abandon.Stop()
	err := srv.server.ShutdownWithContext(ctx)
	if errors.Is(err, context.DeadlineExceeded) && !srv.hasOpenConnections() {
		return nil // the last one ended after the server had looked for it
	}
	return errors.Trace(err)
}

// hasOpenConnections reports whether a connection is open after the listener was closed. The
// server takes one off the number for the listener.
func (srv *Server) hasOpenConnections() bool { return srv.server.GetOpenConnectionsCount() >= 0 }

// handleReadError answers a request that could not be read.
func (srv *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	refusal := notRun(400, "bad-request", "the request could not be read")
	var tooSmall *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		refusal = notRun(413, "body-too-large", "the body exceeds "+strconv.Itoa(srv.settings.MaxBodyBytes)+" bytes")
	case errors.As(err, &tooSmall):
		refusal = notRun(431, "header-too-large", "the header exceeds "+strconv.Itoa(srv.settings.MaxHeaderBytes)+" bytes")
	}
	srv.logRefusal(&exchange{}, refusal)
	writeProblem(ctx, newProblem(refusal, ""))
}

// exchange is one HTTP request of a caller and its response.
type exchange struct {
	ctx    *fasthttp.RequestCtx
	id     ident.Request
	caller wire.Caller
	series Series // set once the service is known
	began  time.Time
}

type handlerFunc func(*exchange) *dispatch.Refusal

// serve wraps next with admission checks and the handling of refusals.
func (srv *Server) serve(next handlerFunc) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		x := &exchange{ctx: ctx, id: ident.Request(uuid.NewString()), began: time.Now()}
		ctx.Response.Header.Set(HeaderRequest, string(x.id))
		if refusal := srv.admit(x, next); refusal != nil {
			refusal = srv.confirmRefusal(x, refusal)
			srv.logRefusal(x, refusal)
			writeProblem(ctx, newProblem(refusal, string(x.id)))
		}
	}
}

// confirmRefusal adjusts a refusal to the ledger's state of the request's
// idempotency key.
func (srv *Server) confirmRefusal(x *exchange, refusal *dispatch.Refusal) *dispatch.Refusal {
	k := string(x.ctx.Request.Header.Peek(HeaderIdempotencyKey))
	repeat := len(x.ctx.Request.Header.Peek(HeaderRepeat)) > 0
	if _, err := ledger.KeyTime(k); err != nil {
		return refusal
	}
	if refusal.Reason == dispatch.ReasonConfigStale && repeat {
		refusal.Outcome = wire.Unknown
		return refusal
	}
	if x.caller.Name == "" {
		return refusal
	}
	return srv.confirm(x.caller.Name, k, repeat, refusal)
}

// checkConfiguration returns the refusal of all requests while the configuration is stale.
func (srv *Server) checkConfiguration() *dispatch.Refusal {
	if err := srv.admissible(); err != nil {
		r := notRun(503, dispatch.ReasonConfigStale, err.Error())
		r.RetryAfter = time.Second
		return r
	}
	return nil
}

func (srv *Server) admit(x *exchange, next handlerFunc) *dispatch.Refusal {
	// This check comes first, because an entry without a configuration cannot
	// authenticate callers.
	if refusal := srv.checkConfiguration(); refusal != nil {
		return refusal
	}
	if refusal := srv.authenticate(x); refusal != nil {
		return refusal
	}
	if !srv.inFlight.acquire(x.caller) {
		r := notRun(429, "caller-limit", "the caller has as many requests in flight as it may")
		r.RetryAfter = time.Second
		return r
	}
	refusal := next(x)
	if refusal != nil {
		srv.inFlight.release(x.caller.Name)
	}
	return refusal
}

func (srv *Server) authenticate(x *exchange) *dispatch.Refusal {
	token, ok := bytes.CutPrefix(x.ctx.Request.Header.Peek("Authorization"), []byte("Bearer "))
	if !ok {
		return notRun(401, "no-token", "the request carries no bearer token")
	}
	if x.caller, ok = srv.catalog.CallerByToken(string(token)); !ok {
		return notRun(401, "wrong-token", "the bearer token belongs to no caller")
	}
	return nil
}

func (srv *Server) logRefusal(x *exchange, r *dispatch.Refusal) {
	srv.Metrics.Tagged(map[string]string{"reason": r.Reason, "outcome": string(r.Outcome)}).Counter("refusals").Inc(1)
	srv.stats.refused(x.series, r)
	srv.Info("msg", "refused", "request", x.id, "caller", x.caller.Name, "outcome", r.Outcome, "reason", r.Reason, "status", r.Status)
}

// deadline returns the time by which the request's answer must have begun.
func (srv *Server) deadline(x *exchange, service wire.Service) (time.Time, *dispatch.Refusal) {
	limit := srv.settings.Deadline.Std()
	if service.DeadlineMS > 0 {
		limit = time.Duration(service.DeadlineMS) * time.Millisecond
	}
	header := x.ctx.Request.Header.Peek(HeaderDeadline)
	if len(header) > 0 {
		ms, err := strconv.ParseInt(string(header), 10, 64)
		if err != nil {
			return time.Time{}, notRun(400, "bad-deadline", HeaderDeadline+" is not a number of milliseconds")
		}
		if ms <= 0 {
			return time.Time{}, notRun(504, dispatch.ReasonDeadline, "the deadline has passed")
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	return x.began.Add(limit), nil
}

// idempotencyKey returns the idempotency key that a non-idempotent service
// requires.
func idempotencyKey(x *exchange, service wire.Service) (string, *dispatch.Refusal) {
	if !service.NonIdempotent {
		return "", nil
	}
	k := string(x.ctx.Request.Header.Peek(HeaderIdempotencyKey))
	if k == "" {
		return "", notRun(400, "no-key", "the service requires an "+HeaderIdempotencyKey)
	}
	if _, err := ledger.KeyTime(k); err != nil {
		return "", notRun(400, dispatch.ReasonBadKey, err.Error())
	}
	return k, nil
}

func fingerprint(x *exchange, extra ...string) uint64 {
	h := xxhash.New()
	for _, e := range extra {
		_, _ = h.WriteString(e)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(x.ctx.PostBody())
	return h.Sum64()
}

// inFlight counts each caller's requests in flight at this entry.
type inFlight struct {
	mu     sync.Mutex
	counts map[ident.Caller]int
}

const defaultInFlight = 1024

func (n *inFlight) acquire(c wire.Caller) bool {
	limit := c.InFlight
	if limit == 0 {
		limit = defaultInFlight
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.counts[c.Name] >= limit {
		return false
	}
	n.counts[c.Name]++
	return true
}

func (n *inFlight) release(c ident.Caller) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.counts[c]--; n.counts[c] <= 0 {
		delete(n.counts, c)
	}
}
