// Package orderer is the process beside one engine. It is the only one to give
// the engine orders, and it grants entries the right to send requests there.
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
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	// activePoll and idlePoll are the times between two reports of the engine,
	// while something is awaited of it and otherwise. A report is free on the
	// engine's own VM; a load takes some 250 ms.
	activePoll = 20 * time.Millisecond
	idlePoll   = 500 * time.Millisecond
	// identifyPause spaces health checks, which are priced.
	identifyPause = 300 * time.Millisecond
	// downAfter is the number of missing reports after which the engine counts
	// as down.
	downAfter = 2
	// lossLinger is how long the grants of a lost link count as in use: the
	// entry may still be there, with its requests under way.
	lossLinger = 3 * time.Second
)

// Engine is the part of the engine's client that the orderer needs.
type Engine struct {
	Report func() (platform.EngineReport, error)
	Send   func(platform.Order) (platform.OrderResult, error)
	// Identity returns the engine's own name, by its health check.
	Identity func(path string) (ident.Target, error)
}

// Orderer grants seats at one engine and gives it orders.
type Orderer struct {
	common.Common
	meters meters
	node   platform.Node
	engine Engine

	mu        sync.Mutex
	scheduler *grant.Scheduler
	nextID    grant.RequestID
	asking    map[grant.RequestID]chan wire.GrantReply
	wake      chan struct{}

	entries entries

	misses     int
	born       int64                 // when the engine started, in ms of Unix time
	report     platform.EngineReport // the newest
	reported   time.Time             // when the newest report was asked for
	identifyAt time.Time             // when the engine may be asked for its name again
	listener   net.Listener
}

// New returns the orderer of the engine on the process's VM.
func New(c common.Common, node platform.Node) *Orderer {
	client := platform.NewEngine(node.Engine)
	c = c.With("orderer")
	return &Orderer{
		Common: c, meters: newMeters(c.Metrics), node: node, engine: Engine{Report: client.Report, Send: client.Send, Identity: client.Identity},
		scheduler: grant.New(), asking: make(map[grant.RequestID]chan wire.GrantReply), wake: make(chan struct{}, 1),
	}
}

// Start listens for entries.
func (o *Orderer) Start(context.Context) error {
	listener, err := net.Listen("tcp4", net.JoinHostPort(o.node.IP, strconv.Itoa(o.node.PeerPort)))
	if err != nil {
		return errors.Trace(err)
	}
	o.listener = listener
	go func() {
		if err := link.Serve(listener, o.identity(), o.handlers(), o.Log); err != nil {
			o.Warn("msg", "peer listener ended", "err", err)
		}
	}()
	return nil
}

func (o *Orderer) identity() link.Identity {
	return link.Identity{Role: wire.RoleAgent, VM: o.node.VM, Liveness: link.GrantLiveness}
}

func (o *Orderer) handlers() link.Handlers {
	return link.Handlers{link.KindEngineSetup: o.setup, link.KindGrantWant: o.want}
}

// Stop ends the listener. Requests under way do not pass through this process.
func (o *Orderer) Stop(context.Context) error { return o.listener.Close() }

func (o *Orderer) setup(_ context.Context, stream *link.Stream, f link.Frame) error {
	var s wire.EngineSetup
	if _, err := s.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	o.entries.seen(stream.Conn())
	o.mu.Lock()
	fresh := o.scheduler.Instance() != s.Instance
	o.scheduler.Setup(s)
	o.mu.Unlock()
	if fresh {
		o.Info("msg", "engine known", "instance", s.Instance, "service", s.Service, "configuration", s.Configuration)
	}
	o.signal()
	return nil
}

// want serves one request's stream from its question until the request ends.
func (o *Orderer) want(ctx context.Context, s *link.Stream, f link.Frame) error {
	var w wire.GrantWant
	if _, err := w.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	id, answer := o.ask(w)
	defer o.withdraw(ctx, s, id)
	var reply wire.GrantReply
	select {
	case reply = <-answer:
	default:
		// The entry gives up an agent that says nothing.
		if err := s.Conn().Ping(); err != nil {
			return errors.Trace(err)
		}
		select {
		case reply = <-answer:
		case <-ctx.Done():
			return nil
		}
	}
	reply.Entries = o.entries.seen(s.Conn())
	if err := s.Send(link.KindGrantReply, &reply); err != nil {
		return errors.Trace(err)
	}
	if reply.Code != wire.GrantGiven {
		o.meters.turnedAway(reply.Reason)
		return nil
	}
	for {
		f, err := s.Receive(ctx)
		if err != nil {
			return nil // the request has ended
		}
		var use wire.GrantUse
		if _, err := use.UnmarshalMsg(f.Body); err != nil {
			return errors.Trace(err)
		}
		o.mu.Lock()
		o.scheduler.Started(id, time.Duration(use.FirstEventMS)*time.Millisecond)
		o.answerLocked()
		o.mu.Unlock()
	}
}

func (o *Orderer) ask(w wire.GrantWant) (grant.RequestID, <-chan wire.GrantReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nextID++
	id := o.nextID
	answer := make(chan wire.GrantReply, 1)
	o.asking[id] = answer
	o.scheduler.Enqueue(&grant.Request{GrantWant: w, ID: id, Enqueued: time.Now()})
	o.answerLocked()
	if _, waits := o.asking[id]; waits {
		o.signal()
	}
	return id, answer
}

// withdraw ends a want. One whose link was lost counts for a while longer.
func (o *Orderer) withdraw(ctx context.Context, s *link.Stream, id grant.RequestID) {
	end := func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.scheduler.Withdraw(id, time.Now())
		delete(o.asking, id)
		o.answerLocked()
		o.signal()
	}
	select {
	case <-s.Conn().Done():
		if errors.Is(context.Cause(ctx), context.Canceled) {
			break
		}
		time.AfterFunc(lossLinger, end)
		return
	default:
	}
	end()
}

// answerLocked sends out the answers that can be given now.
func (o *Orderer) answerLocked() {
	for _, r := range o.scheduler.Decide(time.Now()) {
		if answer := o.asking[r.ID]; answer != nil {
			answer <- r.GrantReply
			delete(o.asking, r.ID)
		}
	}
}

func (o *Orderer) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Run watches the engine and gives it orders until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	for {
		o.step()
		o.mu.Lock()
		idle := o.scheduler.Idle()
		o.mu.Unlock()
		pause := activePoll
		if idle {
			pause = idlePoll
		}
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
		case <-time.After(pause):
		}
	}
}

// step reads the engine's report and gives orders until none is due.
func (o *Orderer) step() {
	if !o.observe() {
		return
	}
	o.identify()
	for {
		order, due := o.next()
		if !due || !o.order(order) {
			return
		}
	}
}

// next returns the next order to give. Before an adapter makes way, the engine's
// runs are checked for requests that were not granted here.
func (o *Orderer) next() (grant.Order, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	order, due := o.scheduler.Order(time.Now())
	if !due || !order.Displaces {
		return order, due
	}
	if !o.scheduler.IsCurrent(o.reported) {
		return grant.Order{}, false // the next report does
	}
	o.checkRuns()
	if !o.scheduler.Pinned() {
		return order, true
	}
	o.answerLocked() // waits have become longer
	return o.scheduler.Order(time.Now())
}

// checkRuns shows the book the runs of the newest report. They are decoded only
// here, since reports are read often. The caller holds mu.
func (o *Orderer) checkRuns() {
	runs, err := o.report.Runs()
	if err != nil {
		o.Warn("msg", "engine's runs not read", "err", err)
	}
	pinned := o.scheduler.Pinned()
	o.scheduler.ObserveRuns(runs, time.Now())
	if o.scheduler.Pinned() != pinned {
		o.Info("msg", "requests of other grants run at the engine", "pinned", !pinned, "runs", len(runs))
	}
}

func (o *Orderer) observe() bool {
	asked := time.Now()
	report, err := o.engine.Report()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.misses++
		if o.misses == downAfter {
			o.Warn("msg", "engine lost", "err", err)
			o.scheduler.Down()
		}
		o.answerLocked()
		return false
	}
	if o.misses >= downAfter {
		o.Info("msg", "engine regained", "born", report.Born)
	}
	o.misses, o.born, o.report, o.reported = 0, report.Born, report, asked
	o.scheduler.Observe(grantReport(report), time.Now())
	if o.scheduler.Pinned() {
		o.checkRuns()
	}
	waiting, running := o.scheduler.RequestCounts()
	held, loading := o.scheduler.AdapterCounts()
	o.meters.waiting.Update(float64(waiting))
	o.meters.running.Update(float64(running))
	o.meters.held.Update(float64(held))
	o.meters.flying.Update(float64(loading))
	o.answerLocked()
	return true
}

// identify asks an engine that has restarted for its name. Entries learn it from
// the store only later.
func (o *Orderer) identify() {
	o.mu.Lock()
	path, due := o.scheduler.Unidentified()
	born := o.born
	o.mu.Unlock()
	if !due || time.Now().Before(o.identifyAt) {
		return
	}
	o.identifyAt = time.Now().Add(identifyPause)
	instance, err := o.engine.Identity(path)
	if err != nil {
		o.Info("msg", "engine not identified", "err", err)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.Identify(instance, born)
	o.Info("msg", "engine identified", "instance", instance, "born", born)
}

func grantReport(r platform.EngineReport) grant.Report {
	out := grant.Report{StartMS: r.Born, Sequence: r.Sequence, Busy: r.Busy, OnDisk: r.OnDisk, InMemory: r.InMemory}
	for _, m := range r.Models {
		out.Models = append(out.Models, m.Name)
		for _, a := range m.Adapters {
			out.Held = append(out.Held, ident.Weights{Model: m.Name, AdapterVersion: a})
		}
	}
	for _, p := range r.Pending {
		out.Loading = append(out.Loading, ident.Weights{Model: p.Model, AdapterVersion: p.AdapterVersion})
	}
	return out
}

// fence is the fencing token of all orders. One process orders an engine, for
// as long as both live on the same VM, so that the token never changes hands.
const fence = 1

// order gives one order and reports whether it was accepted.
func (o *Orderer) order(g grant.Order) bool {
	result, err := o.engine.Send(platform.Order{
		Unload: g.Unload, Model: g.Weights.Model, Adapter: g.Weights.AdapterVersion,
		Expected: g.Sequence, Holder: o.node.VM, Fence: fence, Instance: g.Instance,
	})
	o.Debug("msg", "order", "unload", g.Unload, "weights", g.Weights, "sequence", g.Sequence, "result", result)
	o.meters.order(result)
	if err != nil || result != platform.OrderAccepted && result != platform.OrderHolds {
		o.Info("msg", "order not accepted", "unload", g.Unload, "weights", g.Weights, "sequence", g.Sequence, "result", result, "err", err)
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.Accepted(g, time.Now())
	return true
}
