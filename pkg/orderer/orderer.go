// Package orderer implements the process that runs beside one engine. It is the
// only process that sends the engine orders, and it grants entries the right to
// send requests to the engine.
package orderer

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/grant"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/notice"
	"github.com/hyssoproad/hyssoproad/pkg/origin"
	"github.com/hyssoproad/hyssoproad/pkg/retry"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	// activePoll and idlePoll are the polling intervals for engine reports, with and
	// without requests waiting or loads in progress. A report costs nothing on the
	// engine's own VM, and a load takes about 250 ms.
	activePoll = 20 * time.Millisecond
	idlePoll   = 500 * time.Millisecond
	// pacePoll replaces idlePoll while requests run on an engine whose reports state its
	// pace. A VM changes its pace about every 600 ms, and what the agent learns late
	// pauses streams: with the pace known at any moment, half as many pause for too long.
	pacePoll = 50 * time.Millisecond
	// identifyInterval is the minimum time between health checks, which are billed.
	identifyInterval = 300 * time.Millisecond
	// downAfter is the number of consecutive missing reports after which the engine
	// counts as down.
	downAfter = 2
)

// Engine holds the functions of the engine client that the orderer uses.
type Engine struct {
	Report func() (platform.EngineReport, error)
	Send   func(platform.Order) (platform.OrderResult, error)
	// Identity returns the engine's instance name from its health check.
	Identity func(path string) (ident.Target, error)
}

// Orderer decides which requests may run at one engine and sends it orders.
type Orderer struct {
	common.Common
	metrics metrics
	node    platform.Node
	// Engine is the client of the engine. Tests replace it.
	Engine Engine

	mu        sync.Mutex
	scheduler *grant.Scheduler
	nextID    grant.RequestID
	pending   map[grant.RequestID]chan wire.GrantReply
	wake      chan struct{}

	entries entrySet
	crashes crashLog
	// notices is what gateways tell of targets.
	notices *notice.Table
	permits permitTable
	// origins holds the software that began the streams of this engine.
	origins *origin.Table
	// quotas are the shares of client accounts' quotas that are held here.
	quotas quotaTable
	// entryCount is how many entries are or were lately linked.
	entryCount retry.EntryCount

	leaving    bool // the engine process is about to leave
	misses     int
	startMS    int64                 // start of the engine process in Unix milliseconds
	report     platform.EngineReport // the newest report
	reportedAt time.Time             // when the newest report was requested
	reported   platform.TargetNotice // what the head of the newest report says that is valid
	// runsUnreadable says that the running requests of the newest report can't be decoded.
	runsUnreadable bool
	latePauseRows  *common.RowLimit // about streams that paused for too long
	nextIdentify   time.Time        // earliest time of the next health check
	listener       net.Listener
}

// New returns the orderer of the engine on this VM.
func New(c common.Common, node platform.Node) *Orderer {
	client := platform.NewEngine(node.EngineAddress)
	c = c.With("orderer")
	return &Orderer{
		Common: c, metrics: newMetrics(c.Metrics), node: node, Engine: Engine{Report: client.Report, Send: client.Send, Identity: client.Identity},
		scheduler: grant.New(), pending: make(map[grant.RequestID]chan wire.GrantReply), wake: make(chan struct{}, 1),
		notices: notice.New(), origins: origin.NewTable(), latePauseRows: common.NewRowLimit(1, latePauseRowInterval),
	}
}

// Start starts to accept links from entries.
func (o *Orderer) Start(context.Context) error {
	listener, err := net.Listen("tcp4", net.JoinHostPort(o.node.IP, strconv.Itoa(o.node.PeerPort)))
	if err != nil {
		return errors.Trace(err)
	}
	o.listener = listener
	go func() {
		if err := link.Serve(listener, o.identity(), o.handlers(), o.Log); err != nil {
			o.Warn("msg", "link listener failed", "err", err)
		}
	}()
	return nil
}

// ServeLink serves the link of an entry over a connection. It returns once the link
// stands or has failed.
func (o *Orderer) ServeLink(nc net.Conn) (*link.Conn, error) {
	c, err := link.Server(nc, o.identity(), o.handlers())
	return c, errors.Trace(err)
}

func (o *Orderer) identity() link.Identity {
	return link.Identity{Role: wire.RoleAgent, VM: o.node.VM, Liveness: link.GrantLiveness}
}

func (o *Orderer) handlers() link.Handlers {
	return link.Handlers{
		link.KindEngineSetup: o.handleSetup, link.KindGrantRequest: o.handleGrantRequest, link.KindAccountGrantRequest: o.handleAccountGrantRequest,
		link.KindPauseReport: o.handlePauseReport, link.KindRequestLost: o.handleRequestLost,
		link.KindTargetNotice: o.handleTargetNotice, link.KindPermitRequest: o.handlePermitRequest,
		link.KindRunQuery: o.handleRunQuery, link.KindQuotaLimits: o.handleQuotaLimits, link.KindQuotaRequest: o.handleQuotaRequest,
		link.KindGrantPreview: o.handleGrantPreview, link.KindStreamOrigin: o.handleStreamOrigin, link.KindOriginQuery: o.handleOriginQuery,
	}
}

// Stop closes the listener. Running requests are not affected, since they do not
// pass through this process.
func (o *Orderer) Stop(context.Context) error { return o.listener.Close() }

func (o *Orderer) handleSetup(_ context.Context, stream *link.Stream, f link.Frame) error {
	var s wire.EngineSetup
	if _, err := s.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	if _, isNew := o.entries.add(stream.Conn()); isNew {
		o.sendCrashReports(stream.Conn())
		for _, n := range o.notices.All() {
			o.sendNotice(stream.Conn(), n)
		}
	}
	o.mu.Lock()
	changed := o.scheduler.Setup(s)
	instance := o.scheduler.Instance()
	o.updateLimitLocked()
	o.updateLeavingLocked()
	o.mu.Unlock()
	if changed {
		o.Info("msg", "engine configured", "instance", instance, "listed", s.Instance, "service", s.Service, "configuration", s.Configuration)
	}
	o.signal()
	return nil
}

func (o *Orderer) handleGrantRequest(ctx context.Context, s *link.Stream, f link.Frame) error {
	var r wire.GrantRequest
	if _, err := r.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	return o.serveGrant(ctx, s, wire.AccountGrantRequest{Request: r})
}

func (o *Orderer) handleAccountGrantRequest(ctx context.Context, s *link.Stream, f link.Frame) error {
	var r wire.AccountGrantRequest
	if _, err := r.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	return o.serveGrant(ctx, s, r)
}

// serveGrant serves the stream of one request until the request ends.
func (o *Orderer) serveGrant(ctx context.Context, s *link.Stream, r wire.AccountGrantRequest) error {
	id, replies := o.enqueue(r)
	defer o.withdraw(ctx, s, id)
	var reply wire.GrantReply
	select {
	case reply = <-replies:
	default:
		// The ping keeps the entry from giving up on this agent while the request waits.
		if err := s.Conn().Ping(); err != nil {
			return errors.Trace(err)
		}
		select {
		case reply = <-replies:
		case <-ctx.Done():
			return nil
		}
	}
	reply.LinkedEntries, _ = o.entries.add(s.Conn())
	if err := o.sendReply(s, reply); err != nil {
		return errors.Trace(err)
	}
	if reply.Code != wire.GrantIssued {
		o.metrics.refused(reply.Reason)
		return nil
	}
	for {
		f, err := s.Receive(ctx)
		if err != nil {
			return nil // the request has ended
		}
		if err := o.handleProgress(id, f); err != nil {
			return errors.Trace(err)
		}
	}
}

// sendReply answers a grant request. An entry of an earlier release is not told the process.
func (o *Orderer) sendReply(s *link.Stream, reply wire.GrantReply) error {
	if reply.Code != wire.GrantIssued || !s.Conn().Reads(link.KindProcessGrant) {
		return errors.Trace(s.Send(link.KindGrantReply, &reply))
	}
	o.mu.Lock()
	startMS := o.startMS
	o.mu.Unlock()
	return errors.Trace(s.Send(link.KindProcessGrant, &wire.ProcessGrant{Reply: reply, StartMS: startMS}))
}

func (o *Orderer) handlePauseReport(_ context.Context, _ *link.Stream, f link.Frame) error {
	var r wire.PauseReport
	if _, err := r.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.RecordPause(time.Duration(r.PauseMS)*time.Millisecond, time.Duration(r.ObjectiveMS)*time.Millisecond, time.Now())
	return nil
}

func (o *Orderer) enqueue(r wire.AccountGrantRequest) (grant.RequestID, <-chan wire.GrantReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nextID++
	id := o.nextID
	replies := make(chan wire.GrantReply, 1)
	o.pending[id] = replies
	o.scheduler.Enqueue(&grant.Request{GrantRequest: r.Request, ID: id, Enqueued: time.Now(), Account: r.Account, Weight: r.Weight})
	o.replyLocked()
	if _, waiting := o.pending[id]; waiting {
		o.signal()
	}
	return id, replies
}

// withdraw ends a request. If its link was lost, the request still counts as running
// until the engine's reports show that it has ended.
func (o *Orderer) withdraw(ctx context.Context, s *link.Stream, id grant.RequestID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.pending, id)
	if isClosed(s.Conn()) && !errors.Is(context.Cause(ctx), context.Canceled) {
		o.scheduler.Lose(id, time.Now())
	} else {
		o.scheduler.Withdraw(id, time.Now())
	}
	o.replyLocked()
	o.signal()
}

func isClosed(c *link.Conn) bool {
	select {
	case <-c.Done():
		return true
	default:
		return false
	}
}

// replyLocked sends the replies that can be given now. The caller holds mu.
func (o *Orderer) replyLocked() {
	for _, r := range o.scheduler.Decide(time.Now()) {
		if replies := o.pending[r.ID]; replies != nil {
			replies <- r.GrantReply
			delete(o.pending, r.ID)
		}
	}
}

func (o *Orderer) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Run polls the engine and sends it orders until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	for {
		o.step()
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
		case <-time.After(o.pollInterval()):
		}
	}
}

// pollInterval returns the time until the next report.
func (o *Orderer) pollInterval() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.scheduler.Idle() {
		return activePoll
	}
	if _, running := o.scheduler.RequestCounts(); running > 0 && o.misses == 0 && o.report.Load.Known.Has(platform.LoadPace) {
		return pacePoll
	}
	return idlePoll
}

// step reads the engine's report and sends orders until none is due or one is not
// accepted.
func (o *Orderer) step() {
	if !o.observe() {
		return
	}
	o.identify()
	for {
		order, due := o.nextOrder()
		if !due || !o.sendOrder(order) {
			return
		}
	}
}

// nextOrder returns the next order, which is to be sent at once.
func (o *Orderer) nextOrder() (grant.Order, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	order, due := o.decideOrder()
	if due {
		o.scheduler.Sending(order)
	}
	return order, due
}

// decideOrder decides on the next order. Before one that displaces held weights, it checks
// the engine for running requests that were not granted here. The caller holds mu.
func (o *Orderer) decideOrder() (grant.Order, bool) {
	order, due := o.scheduler.Order(time.Now())
	if !due || !order.Displaces {
		return order, due
	}
	if !o.scheduler.IsCurrent(o.reportedAt) {
		return grant.Order{}, false // wait for a report from after the last end of a request
	}
	o.checkRuns()
	if !o.scheduler.Pinned() {
		return order, true
	}
	o.replyLocked() // pinned adapters lengthen the forecast waits
	return o.scheduler.Order(time.Now())
}

// checkRuns passes the running requests of the newest report to the scheduler. The caller
// holds mu.
func (o *Orderer) checkRuns() {
	runs, err := o.report.RunningAttempts()
	if err != nil {
		o.Warn("msg", "failed to decode the running requests in the engine report", "err", err)
	}
	pinned := o.scheduler.Pinned()
	o.scheduler.ObserveRuns(runs, time.Now())
	if o.scheduler.Pinned() != pinned {
		o.Info("msg", "pinning of held adapters by unknown requests changed", "pinned", !pinned, "runs", len(runs))
	}
}
