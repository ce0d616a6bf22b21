//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/platform"
)

func init() { cases["version"] = playVersion }

// playVersion names a new version of an adapter while requests for it wait for a place at an engine.
func playVersion(d *deployment, trouble bool) (int, error) {
	const (
		engines, slots = 2, 64
		bound          = 5 * time.Second // version_ms
		events         = 149             // the largest number that the sheet allows
	)
	var mu sync.Mutex
	newest := ident.Version(1)
	var acks []time.Time // of version 2
	type run struct {
		at      time.Time
		attempt ident.Attempt
		version ident.Version
		engine  ident.Target
	}
	var runs []run
	d.zone, d.region, d.bounds = "regina-a", "prairie-west", outletBounds()
	d.publish(platform.KindConfiguration, "main", map[string]any{
		"version": 7, "limits": limits, "tenants": []any{map[string]any{"name": "t1", "api-keys": []string{"key-1"}, "priority": 1}},
		"routes": []any{map[string]any{
			"name": "stock-brief-bulk", "host": host, "path-prefix": "/bulk/", "kind": "streaming", "timeout-ms": 30000, "slo-ms": 2000, "priority": 2, "service": "assist-models",
			"max-attempts": 1, "sticky": true, "can-resume": false, "gap-slo-ms": 400,
		}},
		"services": []any{map[string]any{"name": "assist-models", "health-path": "/health", "max-conns": 510, "protocol": "h1", "tls": false, "engine": outletEngine()}},
	})
	d.publish(platform.KindVersions, modelName+".a1", map[string]any{"model": modelName, "adapter": "a1", "version": 1})
	if _, err := d.addGateway(1); err != nil {
		return 0, err
	}
	for i := 1; i <= engines; i++ {
		w := d.newWorker(i, standin.WorkerSettings{
			Service: "assist-models", Model: modelName, Slots: slots, AdapterSlots: 14, ModelLoad: time.Second, AdapterLoad: 288 * time.Millisecond, EventPause: 120 * time.Millisecond,
			Newest: func(ident.Adapter) ident.Version { mu.Lock(); defer mu.Unlock(); return newest },
			OnEvent: func(e standin.WorkerEvent) {
				if e.Kind != standin.WorkerRan {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				runs = append(runs, run{e.At, e.Attempt, e.Adapter.Version, e.Instance})
			},
		})
		if err := d.startWorker(i, w); err != nil {
			return 0, err
		}
		if _, err := d.addOrderer(i, "assist-models"); err != nil {
			return 0, err
		}
	}
	if err := d.startAll(1); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	served, refused := 0, 0
	send := func(attempt string, events int) {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			d.printf("client sends %s", attempt)
			a := ask(ctx, d.gatewayAddress(1), "POST", "/bulk/x", map[string]string{
				"X-Attempt-Id": attempt, "X-Model": modelName + "/a1", "X-Token-Count": fmt.Sprintf("1460,%d", 4*events), "X-Deadline-Ms": "30000", "Api-Key": "key-1",
				"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,91bd3f06:140,%s:1120", attempt), standin.HeaderEvents: fmt.Sprint(events),
			}, []byte("{}"))
			d.printf("client has %s: status %d, %d bytes, complete %v, error %v, %v after it was sent", attempt, a.status, len(a.body), a.complete, a.err, a.at.Sub(a.sent).Round(time.Millisecond))
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 && a.complete {
				served++
			} else {
				refused++
			}
		})
	}
	for n := range 6 {
		send(fmt.Sprintf("warm%02d", n), 3)
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	// As many requests as the sheet's traffic brings to two of its 57 engines. These are full after about 11 s.
	for n := range 150 {
		send(fmt.Sprintf("user%03d", n), events)
		if n == 134 && trouble {
			mu.Lock()
			newest = 2
			mu.Unlock()
			at := d.publish(platform.KindVersions, modelName+".a1", map[string]any{"model": modelName, "adapter": "a1", "version": 2})
			mu.Lock()
			acks = append(acks, at)
			mu.Unlock()
			d.say("the store has acknowledged version 2 of the adapter")
		}
		time.Sleep(time.Second * 10 / 108)
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for _, r := range runs {
		d.at(r.at, "engine %s begins %s on version %d", r.engine, r.attempt, r.version)
		for _, ack := range acks {
			if r.version < 2 && r.at.Sub(ack) > bound {
				broken++
				d.say("VERSION broken: %s begins on version %d at %s, %.3f s after version 2 was acknowledged (bound %v)", r.attempt, r.version, r.engine, r.at.Sub(ack).Seconds(), bound)
			}
		}
	}
	d.say("%d requests run, %d answered in whole, %d refused or failed", len(runs), served, refused)
	if served < 50 {
		return 0, fmt.Errorf("only %d requests were served", served)
	}
	return broken, nil
}
