package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/fasthttp/router"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/caller"
	"github.com/hyssoproad/hyssoproad/pkg/catalog"
	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/dispatch"
	"github.com/hyssoproad/hyssoproad/pkg/explain"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/kernel"
	"github.com/hyssoproad/hyssoproad/pkg/peer"
	"github.com/hyssoproad/hyssoproad/pkg/rollout"
	"github.com/hyssoproad/hyssoproad/pkg/secure"
	"github.com/hyssoproad/hyssoproad/pkg/settings"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:    "operator",
		Provide: []any{New},
		Start:   func(*Server) {},
	})
}

const (
	commandTimeout = 8 * time.Second
	maxBodyBytes   = 4 << 20
)

// Server is the HTTP server for operators.
type Server struct {
	common.Common
	settings     settings.OperatorListener
	peer         *peer.Peer
	requestStats *caller.RequestStats
	dispatch     *dispatch.Dispatcher
	explainJob   func(ident.AdapterVersion) (*dispatch.Job, dispatch.Placement)
	server       *fasthttp.Server
}

// New returns the operator server of an entry and adds it to the lifecycle.
func New(c common.Common, p *peer.Peer, callers *caller.Server, d *dispatch.Dispatcher, s settings.Entry, life *kernel.Lifecycle) *Server {
	srv := &Server{Common: c.With("operator"), settings: s.Operators, peer: p, requestStats: callers.Stats(), dispatch: d, explainJob: callers.Explain}
	r := router.New()
	r.POST("/operator/command", srv.serve(true, srv.command))
	r.POST("/operator/query", srv.serve(false, srv.serveQuery))
	r.POST("/operator/apply", srv.serve(true, srv.apply))
	r.GET("/operator/export", srv.serve(false, srv.export))
	r.GET("/operator/records", srv.serve(false, srv.serveRequestStats))
	srv.server = &fasthttp.Server{Handler: r.Handler, Name: "hyssoproad", NoDefaultServerHeader: true, MaxRequestBodySize: maxBodyBytes}
	life.Append(kernel.Hook{
		Name:  "operators",
		Start: func(context.Context) error { return srv.start() },
		Stop:  srv.server.ShutdownWithContext,
		Faces: true,
	})
	return srv
}

func (srv *Server) start() error {
	listener, err := secure.Listen(srv.settings.Listen, srv.settings.TLS)
	if err != nil {
		return errors.Trace(err)
	}
	go func() { srv.logServeError(srv.server.Serve(listener)) }()
	return nil
}

func (srv *Server) logServeError(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		srv.Warn("msg", "operator listener failed", "err", err)
	}
}

// Reply is the response to an operator.
type Reply struct {
	// Error says why the request failed.
	Error string `json:"error,omitempty"`
	// Reason is conflict, not-valid, not-found, already-exists, unsettled,
	// unavailable or denied.
	Reason   string         `json:"reason,omitempty"`
	Revision ident.Revision `json:"revision,omitempty"`
	Command  ident.Command  `json:"command,omitempty"`
	Table    *Table         `json:"table,omitempty"`
	// Explanation answers where a request would go.
	Explanation *explain.Answer `json:"explanation,omitempty"`
	Changes     []wire.Change   `json:"changes,omitempty"`
	// RequestStats holds the entry's request statistics for reports. Its series
	// cover the last hour.
	RequestStats *caller.RequestStatsExport `json:"records,omitempty"`
}

// CommandRequest is the body of POST /operator/command and /operator/query.
type CommandRequest struct {
	Command ident.Command `json:"command"`
	// Base is the revision that the command is based on; 0 stands for this
	// entry's current revision.
	Base ident.Revision `json:"base,omitempty"`
	Text string         `json:"text"`
}

// ApplyRequest is the body of POST /operator/apply.
type ApplyRequest struct {
	Command ident.Command  `json:"command"`
	Base    ident.Revision `json:"base,omitempty"`
	Changes []wire.Change  `json:"changes"`
}

type handler func(ctx *fasthttp.RequestCtx, operator string) (Reply, error)

func (srv *Server) serve(isWrite bool, handle handler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		operator, err := srv.authenticate(ctx, isWrite)
		var reply Reply
		if err == nil {
			reply, err = handle(ctx, operator)
		}
		if err != nil {
			reply.Error = err.Error()
			reply.Reason = errorReason(err)
			srv.Info("msg", "operator request failed", "operator", operator, "path", string(ctx.Path()), "reason", reply.Reason, "err", err)
			ctx.SetStatusCode(httpStatus(reply.Reason))
		}
		ctx.SetContentType("application/json")
		if err := json.NewEncoder(ctx).Encode(reply); err != nil {
			srv.Warn("msg", "failed to encode the response", "err", err)
		}
	}
}

func (srv *Server) authenticate(ctx *fasthttp.RequestCtx, isWrite bool) (string, error) {
	token, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	hash := catalog.HashToken(token)
	for _, t := range srv.settings.Tokens {
		if ok && subtle.ConstantTimeCompare([]byte(hash), []byte(t.Hash)) == 1 {
			if isWrite && t.ReadOnly {
				return t.Name, errors.Forbiddenf("read-only operator %q may not run commands", t.Name)
			}
			return t.Name, nil
		}
	}
	return "", errors.Unauthorizedf("missing or unknown operator token")
}

func errorReason(err error) string {
	var conflict *rollout.ConflictError
	switch {
	case errors.As(err, &conflict):
		return "conflict"
	case errors.Is(err, errors.NotValid):
		return "not-valid"
	case errors.Is(err, errors.NotFound):
		return "not-found"
	case errors.Is(err, errors.AlreadyExists):
		return "already-exists"
	case errors.Is(err, errors.Forbidden), errors.Is(err, errors.Unauthorized):
		return "denied"
	case errors.Is(err, rollout.ErrUnsettled):
		return "unsettled"
	}
	return "unavailable"
}

func httpStatus(reason string) int {
	switch reason {
	case "conflict", "already-exists":
		return fasthttp.StatusConflict
	case "not-valid":
		return fasthttp.StatusBadRequest
	case "not-found":
		return fasthttp.StatusNotFound
	case "denied":
		return fasthttp.StatusForbidden
	}
	return fasthttp.StatusServiceUnavailable
}

func decodeBody(ctx *fasthttp.RequestCtx, v any) error {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		return errors.NotValidf("body: %v:", err)
	}
	return nil
}

func (srv *Server) serveQuery(ctx *fasthttp.RequestCtx, _ string) (Reply, error) {
	var req CommandRequest
	if err := decodeBody(ctx, &req); err != nil {
		return Reply{}, errors.Trace(err)
	}
	s, err := Parse(req.Text)
	if err != nil {
		return Reply{}, errors.Trace(err)
	}
	if s.Show == nil && s.Explain == nil {
		return Reply{}, errors.NotValidf("a command is not a query:")
	}
	if s.Explain != nil && s.Explain.Subject == "route" {
		return srv.explainRoute(s.Explain.Name)
	}
	table, err := srv.query(s)
	if err != nil {
		return Reply{}, errors.Trace(err)
	}
	return Reply{Revision: srv.peer.Config.Catalog().Revision(), Table: table}, nil
}

func (srv *Server) command(ctx *fasthttp.RequestCtx, operator string) (Reply, error) {
	var req CommandRequest
	if err := decodeBody(ctx, &req); err != nil {
		return Reply{}, errors.Trace(err)
	}
	s, err := Parse(req.Text)
	if err != nil {
		return Reply{}, errors.Trace(err)
	}
	if s.Cancel != nil {
		return srv.cancel(operator, s.Cancel)
	}
	base := req.Base
	if base == 0 {
		base = srv.peer.Config.Catalog().Revision()
	}
	changes, err := compile(s, srv.peer.Config.Catalog())
	if err != nil {
		return Reply{}, errors.Trace(err)
	}
	return srv.propose(rollout.Proposal{Command: req.Command, Operator: operator, Base: base, Changes: changes})
}

// cancel cancels a request in progress at this entry. It changes no
// configuration.
func (srv *Server) cancel(operator string, c *Cancel) (Reply, error) {
	if !srv.dispatch.Cancel(ident.Request(c.Request)) {
		return Reply{}, errors.NotFoundf("request %q in progress at this entry", c.Request)
	}
	srv.Info("msg", "request cancelled", "operator", operator, "request", c.Request)
	return Reply{Revision: srv.peer.Config.Catalog().Revision()}, nil
}

func (srv *Server) apply(ctx *fasthttp.RequestCtx, operator string) (Reply, error) {
	var req ApplyRequest
	if err := decodeBody(ctx, &req); err != nil {
		return Reply{}, errors.Trace(err)
	}
	return srv.propose(rollout.Proposal{Command: req.Command, Operator: operator, Base: req.Base, Changes: req.Changes})
}

// propose submits a command to the configuration log. It refuses the command
// while most entries are unreachable, because those might keep serving without it
// during an object API outage.
func (srv *Server) propose(p rollout.Proposal) (Reply, error) {
	if p.Command == "" || len(p.Command) > ident.MaxNameLength {
		return Reply{}, errors.NotValidf("command id of %d characters", len(p.Command))
	}
	if !srv.peer.HearsMajority() {
		return Reply{}, errors.New("most entries are unreachable; the command was not accepted")
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	record, err := srv.peer.Config.Append(ctx, p)
	if err != nil {
		return Reply{Command: p.Command}, errors.Trace(err)
	}
	srv.Info("msg", "command accepted", "operator", p.Operator, "command", p.Command, "revision", record.Revision)
	return Reply{Revision: record.Revision, Command: p.Command}, nil
}

func (srv *Server) export(*fasthttp.RequestCtx, string) (Reply, error) {
	revision, changes := srv.peer.Config.Catalog().Export()
	return Reply{Revision: revision, Changes: changes}, nil
}

func (srv *Server) serveRequestStats(*fasthttp.RequestCtx, string) (Reply, error) {
	export := srv.requestStats.Export()
	return Reply{RequestStats: &export}, nil
}
