package orderer

import (
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/grant"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/platform"
)

// observe reads the engine's report. It reports whether there was one.
func (o *Orderer) observe() bool {
	requestedAt := time.Now()
	report, err := o.Engine.Report()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.misses++
		if o.misses == downAfter {
			o.Warn("msg", "engine does not answer", "err", err)
			o.scheduler.Down()
		}
		if o.misses >= downAfter && !o.leaving {
			o.engineEndedLocked(o.startMS)
		}
		o.replyLocked()
		return false
	}
	if o.startMS != 0 && report.StartMS != o.startMS && !o.leaving {
		o.engineEndedLocked(o.startMS)
	}
	if report.Unread != o.report.Unread {
		o.Warn("msg", "models in the engine's report could not be read", "models", report.Unread)
	}
	if o.misses >= downAfter {
		o.Info("msg", "engine answers again", "born", report.StartMS)
	}
	o.misses, o.startMS, o.report, o.reportedAt = 0, report.StartMS, report, requestedAt
	o.scheduler.Answered() // the report is newer than all orders
	o.scheduler.Observe(grantReport(report), time.Now())
	o.observeMemoryLocked(requestedAt)
	o.observeNoticeLocked(report.Notice)
	if report.Load.Known.Has(platform.LoadPace) {
		o.recordPaceLocked(report.Load.Pace, paceOfReport, requestedAt)
	}
	if o.scheduler.Pinned() {
		o.checkRuns()
	}
	tokens, unaccounted := o.scheduler.Memory()
	o.metrics.memory.Update(float64(tokens))
	o.metrics.unaccounted.Update(float64(unaccounted))
	waiting, running := o.scheduler.RequestCounts()
	held, loading := o.scheduler.AdapterCounts()
	o.metrics.waiting.Update(float64(waiting))
	o.metrics.running.Update(float64(running))
	o.metrics.held.Update(float64(held))
	o.metrics.loading.Update(float64(loading))
	o.replyLocked()
	return true
}

// identify asks an engine that has restarted for its instance name. Entries learn the
// name from the store only later.
func (o *Orderer) identify() {
	o.mu.Lock()
	path, due := o.scheduler.Unidentified()
	startMS := o.startMS
	o.mu.Unlock()
	if !due || time.Now().Before(o.nextIdentify) {
		return
	}
	o.nextIdentify = time.Now().Add(identifyInterval)
	instance, err := o.Engine.Identity(path)
	if err != nil {
		var pause *platform.PauseError
		if errors.As(err, &pause) {
			o.nextIdentify = time.Now().Add(pause.For)
		}
		o.Info("msg", "engine identity check failed", "err", err)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.Identify(instance, startMS)
	o.Info("msg", "engine identified", "instance", instance, "born", startMS)
}

func grantReport(r platform.EngineReport) grant.Report {
	out := grant.Report{StartMS: r.StartMS, Sequence: r.Sequence, Busy: r.Busy, OnDisk: r.OnDisk, InMemory: r.InMemory}
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

// observeMemoryLocked tells the scheduler which requests the newest report lists. The
// caller holds mu.
func (o *Orderer) observeMemoryLocked(requestedAt time.Time) {
	listed, err := o.report.Runs()
	if (err != nil) != o.runsUnreadable {
		o.runsUnreadable = err != nil
		o.Warn("msg", "readability of the running requests in the engine report changed", "readable", err == nil, "err", err)
	}
	runs := make([]grant.Run, len(listed))
	for i, r := range listed {
		runs[i] = grant.Run{Attempt: r.Attempt, Tokens: r.Tokens}
	}
	o.scheduler.ObserveMemory(runs, err == nil, requestedAt, time.Now())
}
