//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"
)

// runRow tells the begin or the end of a run to the process of the case.
func runRow(r *run) string {
	end := int64(0)
	if !r.end.IsZero() {
		end = r.end.UnixNano()
	}
	return fmt.Sprintf("run %s %s %d %d %q", r.engine, r.attempt, r.begin.UnixNano(), end, r.last)
}

// observe records a run that an engine process has told of.
func (l *runLog) observe(row string) {
	var r run
	var begin, end int64
	if _, err := fmt.Sscanf(row, "run %s %s %d %d %q", &r.engine, &r.attempt, &begin, &end, &r.last); err != nil {
		return
	}
	r.begin = time.Unix(0, begin)
	if end != 0 {
		r.end = time.Unix(0, end)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, known := range l.runs {
		if known.engine == r.engine && known.attempt == r.attempt && known.begin.Equal(r.begin) {
			known.end = r.end
			return
		}
	}
	l.runs = append(l.runs, &r)
}

// engineProcess is a model engine as a process of its own. It writes what it does to its
// standard output.
func engineProcess(id, address, form, born string) {
	w := &world{rec: &record{f: os.Stdout, start: time.Now()}, store: newStore()}
	log := &runLog{tell: func(r *run) { fmt.Println(runRow(r)) }}
	e := newEngine(w, log, draftService, id, address, true, 64)
	e.unframed, e.loaded = form == "unframed", true
	e.adapters["a1"] = 1
	e.born, _ = strconv.ParseInt(born, 10, 64)
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

func (w *world) childEngine(i int, log *runLog, form string) (*childEngine, error) {
	c := &childEngine{id: fmt.Sprintf("i-draft-%d", i), address: w.addr(2, i, w.ports.app), born: time.Now().UnixMilli()}
	c.cmd = exec.Command(os.Args[0], "engine", c.id, c.address, form, strconv.FormatInt(c.born, 10))
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
			if log != nil {
				log.observe(lines.Text())
			}
		}
		_ = c.cmd.Wait()
	}()
	return c, nil
}

// preempt makes the engine preempt what it runs for a while, and go on with it whether or not
// its connections close.
func (c *childEngine) preempt(d time.Duration) {
	client := http.Client{Timeout: time.Second}
	if res, err := client.Get(fmt.Sprintf("http://%s%s?ms=%d", c.address, preemptPath, d.Milliseconds())); err == nil {
		_ = res.Body.Close()
	}
}

// active returns how many requests the engine runs.
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
