//go:build review

// Command drive3 plays the scripted cases of the third review. It starts the project's
// programs as processes on loopback addresses, beside stand-ins of the platform's store, of
// engines, of plain services and of clients.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *record) row(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// world is one small deployment.
type world struct {
	dir, bin string
	octet    int
	rec      *record
	store    *store
	mu       sync.Mutex
	procs    map[string]*proc
	ports    struct{ front, ready, peer, app, store int }
}

// proc is a process under test. It is started again when it ends, as the platform does.
type proc struct {
	w        *world
	name     string
	program  string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	stopped  bool
	ends     int // by itself
	killed   bool
}

func newWorld(rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, bin: "target", rec: rec, procs: make(map[string]*proc)}
	for try := 0; ; try++ {
		w.octet = 100 + rand.IntN(140)
		base := 20000 + rand.IntN(10000)
		w.ports.front, w.ports.ready, w.ports.peer, w.ports.app, w.ports.store = base, base+1, base+2, base+3, base+4
		if w.free() {
			break
		}
		if try > 50 {
			return nil, fmt.Errorf("no free ports")
		}
	}
	w.store = newStore()
	l, err := net.Listen("tcp4", w.addr(4, 1, w.ports.store))
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, w.store) }()
	return w, nil
}

func (w *world) free() bool {
	for _, port := range []int{w.ports.front, w.ports.ready, w.ports.peer, w.ports.app, w.ports.store, 9464} {
		l, err := net.Listen("tcp4", w.addr(1, 1, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// ip returns the address of machine i of a class: 1 for fronts, 2 for sides, 3 for plain
// services, 4 for the platform.
func (w *world) ip(class, i int) string { return fmt.Sprintf("127.%d.%d.%d", w.octet, class, i) }

func (w *world) addr(class, i, port int) string { return fmt.Sprintf("%s:%d", w.ip(class, i), port) }

// settings are those of a process of a small deployment (fleetbench wire).
func (w *world) settingsOf(name, class, ip, app, storeAddress string) map[string]any {
	listen := map[string]any{}
	memory := 216
	if class == "front" {
		listen["front"], listen["ready"] = fmt.Sprintf("%s:%d", ip, w.ports.front), fmt.Sprintf("%s:%d", ip, w.ports.ready)
		memory = 284
	}
	out := map[string]any{
		"node-name": name, "role": class, "machine-class": class, "serves": []string{class}, "ip": ip, "zone": "vasteras", "region": "mid-sweden",
		"zones": map[string]string{"vasteras": "mid-sweden"}, "listen": listen, "inner-ports": []int{w.ports.peer, w.ports.peer + 15},
		"seed-nodes": []string{}, "bootstrap": true, "fault-counted": false,
		"limits":   map[string]any{"cpu-share": 0.304, "cores": 1, "memory-mb": memory, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "vip", "beat-interval-ms": 1200,
		"bounds": map[string]any{
			"seed-lag-s": 3, "addr-reuse-s": 2, "stable-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
			"config-apply-ms": 2000, "downgrade-slack-ms": 250, "skew-max-ms": 5000, "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-budget-slack": 54,
			"recovery-s": 12, "pass-ms": 120, "retry-after-s": 0, "fencing-required": false, "lease-ms": 3000, "thaw-slack-ms": 300,
			"ceiling-window-s": 5, "load-burst-factor": 1.1, "version_ms": 5000,
		},
		"platform": map[string]any{"address": storeAddress, "form": "objects", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
	}
	if app != "" {
		out["app"], out["service"] = app, "drafts"
	}
	return out
}

// start starts a program with the command of the deploy file and keeps it running.
func (w *world) start(name, program string, settings map[string]any) (*proc, error) {
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	p := &proc{w: w, name: name, program: program, settings: filepath.Join(w.dir, name+".json")}
	if err := os.WriteFile(p.settings, text, 0o644); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.procs[name] = p
	w.mu.Unlock()
	return p, p.run()
}

func (p *proc) run() error {
	logFile, err := os.OpenFile(filepath.Join(p.w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(p.w.bin, p.program))
	if level := os.Getenv("REVIEW_LOG"); level != "" {
		cmd.Args = append(cmd.Args, "-log-level", level)
	}
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HYSSOPROAD_BOOT=" + p.settings}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = logFile.Close()
	p.mu.Lock()
	p.cmd, p.killed = cmd, false
	p.mu.Unlock()
	p.w.rec.row("process %s starts", p.name)
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		stopped, killed := p.stopped, p.killed
		if !stopped && !killed {
			p.ends++
		}
		p.mu.Unlock()
		p.w.rec.row("process %s ends: %v (by itself: %t)", p.name, err, !stopped && !killed)
		if !stopped {
			time.Sleep(500 * time.Millisecond)
			_ = p.run()
		}
	}()
	return nil
}

// signal sends a signal to the process.
func (p *proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.killed = true
	}
	p.w.rec.row("signal %v to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

// ownEnds returns how often the process has ended by itself.
func (p *proc) ownEnds() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends
}

// end ends all processes and removes the folder, unless it is to be kept.
func (w *world) end() {
	w.mu.Lock()
	for _, p := range w.procs {
		p.mu.Lock()
		p.stopped = true
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
		p.mu.Unlock()
	}
	w.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

// gateway starts the gateway of entry VM i.
func (w *world) gateway(i int) (*proc, error) {
	name := fmt.Sprintf("front-vasteras-%d", i)
	return w.start(name, "hyssoproad-gateway", w.settingsOf(name, "front", w.ip(1, i), "", w.addr(4, 1, w.ports.store)))
}

// orderer starts the orderer beside engine i.
func (w *world) orderer(i int) (*proc, error) {
	name := fmt.Sprintf("side-vasteras-%d", i)
	return w.start(name, "hyssoproad-orderer", w.settingsOf(name, "side", w.ip(2, i), w.addr(2, i, w.ports.app), w.addr(4, 1, w.ports.store)))
}

// awaitReady waits until a gateway's readiness check succeeds.
func (w *world) awaitReady(i int, wait time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(wait); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		res, err := client.Get("http://" + w.addr(1, i, w.ports.ready) + "/readiness")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == 200 {
				return nil
			}
		}
	}
	return fmt.Errorf("gateway %d is not ready", i)
}
