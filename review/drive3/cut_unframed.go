//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// engineProcess is a model engine as a process of its own. It writes what it does to its
// standard output.
func engineProcess(id, address string) {
	w := &world{rec: &record{f: os.Stdout, start: time.Now()}, store: newStore()}
	e := newEngine(w, &runLog{}, draftService, id, address, true, 64)
	e.unframed, e.loaded = true, true
	e.adapters["a1"] = 1
	if err := e.serve(); err != nil {
		fmt.Println(err)
		os.Exit(unable)
	}
	select {}
}

// childEngine is an engine process that the case has started.
type childEngine struct {
	id, address string
	cmd         *exec.Cmd
	dead        bool
	born        int64
	beats       int
}

func (w *world) childEngine(i int) (*childEngine, error) {
	c := &childEngine{id: fmt.Sprintf("i-draft-%d", i), address: w.addr(2, i, w.ports.app), born: time.Now().UnixMilli()}
	c.cmd = exec.Command(os.Args[0], "engine", c.id, c.address)
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			w.rec.row("| %s", lines.Text())
		}
		_ = c.cmd.Wait()
	}()
	return c, nil
}

// report returns how many requests the engine runs.
func (c *childEngine) active() int {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + c.address + "/report")
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	var report struct{ Active int }
	_ = json.NewDecoder(res.Body).Decode(&report)
	return report.Active
}

// beat writes the status reports of an engine that is alive.
func (w *world) beatFor(c *childEngine) {
	for ; !c.dead; time.Sleep(1200 * time.Millisecond) {
		c.beats++
		w.store.put("servers", c.id, map[string]any{
			"service": draftService, "address": c.address, "zone": "vasteras", "version": "v1", "slots": 64, "state": "ready", "cold-left-ms": 0, "seq": c.beats, "born": c.born,
			"stage": "colocated", "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []string{"a1@1"}}},
		})
	}
	time.Sleep(3 * 1200 * time.Millisecond)
	w.store.remove("servers", c.id)
}

// cutUnframed: an engine whose answers have no length is killed while it streams.
func cutUnframed(w *world, trouble bool) (int, error) {
	w.store.put("config", "main", configuration(7))
	var engines []*childEngine
	defer func() {
		for _, e := range engines {
			_ = e.cmd.Process.Kill()
		}
	}()
	for i := 1; i <= 4; i++ { // one of four is a share of 0.25
		e, err := w.childEngine(i)
		if err != nil {
			return unable, err
		}
		engines = append(engines, e)
	}
	time.Sleep(300 * time.Millisecond)
	for i, e := range engines {
		go w.beatFor(e)
		if _, err := w.orderer(i + 1); err != nil {
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
	const events = 100
	for range 20 {
		c.wait.Go(func() { c.stream(1, "/draft/x", "a1", events, 15*time.Second) })
		time.Sleep(100 * time.Millisecond)
	}
	if trouble {
		most := engines[0]
		for _, e := range engines[1:] {
			if e.active() > most.active() {
				most = e
			}
		}
		w.rec.row("engine %s is killed while it runs %d requests", most.id, most.active())
		most.dead = true
		_ = most.cmd.Process.Kill()
	}
	c.wait.Wait()
	code := held
	for _, r := range c.results {
		if r.status == 200 && r.complete && r.events < events {
			w.rec.row("BROKEN: the stream %s ends as complete after %d of %d events", r.attempt, r.events, events)
			code = broken
		}
	}
	if len(c.results) != 20 {
		return unable, fmt.Errorf("%d results", len(c.results))
	}
	return code, nil
}
