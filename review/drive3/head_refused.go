//go:build review

package main

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// headRefused: a configuration removes a route to which clients send HEAD requests.
func headRefused(w *world, trouble bool) (int, error) {
	log := &runLog{}
	with := configuration(7)
	routes := with["routes"].([]any)
	with["routes"] = append(append([]any{}, routes...), map[string]any{"name": "r-old", "host": hostName, "path-prefix": "/old/", "kind": "safe", "timeout-ms": 1000, "slo-ms": 100, "priority": 0, "service": deskService, "max-attempts": 2})
	w.store.put("config", "main", with)
	for i := 1; i <= 3; i++ {
		d := newEngine(w, log, deskService, fmt.Sprintf("i-desk-%d", i), w.addr(3, i, w.ports.app), false, 30)
		if err := d.serve(); err != nil {
			return unable, err
		}
	}
	if _, err := w.gateway(1); err != nil {
		return unable, err
	}
	if err := w.awaitReady(1, 15*time.Second); err != nil {
		return unable, err
	}
	time.Sleep(4 * time.Second)
	c := newClients(w)
	var bad, asked, denied atomic.Int64
	stop := time.Now().Add(10 * time.Second)
	for range 5 {
		c.wait.Go(func() {
			for time.Now().Before(stop) {
				k, err := c.dial(1)
				if err != nil {
					return
				}
				for time.Now().Before(stop) {
					res, id, err := k.send("HEAD", "/old/x", time.Second)
					if err != nil {
						w.rec.row("client got for %s: %v", id, err)
						break
					}
					w.rec.row("client got for %s: status %d, stamp %q, length %q", id, res.StatusCode, res.Header.Get("X-Server-Stamp"), res.Header.Get("Content-Length"))
					if res.StatusCode == 404 {
						denied.Add(1)
					}
					res, id, err = k.send("GET", "/look/x", time.Second)
					if err != nil {
						bad.Add(1)
						w.rec.row("BROKEN: what the client got on the kept connection in answer to %s is no answer: %v", id, err)
						break
					}
					body, _ := io.ReadAll(res.Body)
					asked.Add(1)
					if res.StatusCode == 200 && string(body) != string(plainBody(id)) {
						bad.Add(1)
						w.rec.row("BROKEN: wrong body for %s", id)
					}
					w.rec.row("client got for %s: status %d, stamp %q, %d bytes", id, res.StatusCode, res.Header.Get("X-Server-Stamp"), len(body))
					time.Sleep(300 * time.Millisecond)
				}
				_ = k.nc.Close()
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.rec.row("the operator writes version 9, without the route r-old")
		w.store.put("config", "main", configuration(9))
	}
	c.wait.Wait()
	w.rec.row("%d lookups answered, %d HEAD requests answered 404", asked.Load(), denied.Load())
	switch {
	case asked.Load() == 0, trouble && denied.Load() == 0:
		return unable, fmt.Errorf("%d lookups answered, %d HEAD requests answered 404", asked.Load(), denied.Load())
	case bad.Load() > 0:
		return broken, nil
	}
	return held, nil
}
