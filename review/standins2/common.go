//go:build review

// Command standins2 runs the cases of the second review: it starts the programs of the
// deploy file as processes on loopback addresses, with stand-ins of clients, engines and
// the platform's store, and judges one rule by what these have seen.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/platform"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// fatal ends a case that cannot run.
type fatal struct{ err error }

func must(err error) {
	if err != nil {
		panic(fatal{err})
	}
}

// world holds what a case has started.
type world struct {
	trouble bool
	dir     string // temporary folder
	octet   int    // second octet of all addresses
	port    int    // of the links between the programs
	began   time.Time

	store        *standin.Objects
	storeAddress string

	mu        sync.Mutex
	record    *os.File
	processes []*process
	engines   []*engine
	gateways  int
	orderers  int
}

// process is one program of the deploy file.
type process struct {
	name     string
	program  string
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
}

func newWorld(recordPath string, trouble bool) *world {
	dir, err := os.MkdirTemp("", "review-2-")
	must(err)
	record, err := os.Create(recordPath)
	must(err)
	w := &world{trouble: trouble, dir: dir, octet: 32 + os.Getpid()%192, record: record, began: time.Now(), store: standin.NewObjects(1)}
	w.port = w.freePort(w.ip(9, 1))
	r := router.New()
	w.store.Register(r)
	l, err := net.Listen("tcp4", w.ip(1, 1)+":0")
	must(err)
	w.storeAddress = l.Addr().String()
	go func() { _ = fasthttp.Serve(l, r.Handler) }()
	w.note("trouble %v", trouble)
	return w
}

// ip returns a loopback address. The third octet tells what it is of.
func (w *world) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", w.octet, kind, n) }

func (w *world) freePort(ip string) int {
	l, err := net.Listen("tcp4", ip+":0")
	must(err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// put writes an entry of the store without a condition, as an engine does.
func (w *world) put(name string, spec []byte) {
	for range 100 {
		if w.store.Publish(platform.KindTargets, name, spec) == nil {
			return
		}
		time.Sleep(time.Millisecond) // another write came between
	}
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all that the case has started.
func (w *world) close() {
	for _, p := range w.processes {
		p.kill()
	}
	for _, e := range w.engines {
		e.crash()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

// bounds are those of the deployments of a few machines.
func bounds() map[string]any {
	return map[string]any{
		"seed-lag-s": 3, "addr-reuse-s": 2, "stable-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
		"config-apply-ms": 2000, "downgrade-slack-ms": 250, "skew-max-ms": 5000, "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-budget-slack": 54,
		"recovery-s": 12, "pass-ms": 120, "retry-after-s": 0, "fencing-required": false, "lease-ms": 3000, "thaw-slack-ms": 300, "ceiling-window-s": 5,
		"load-burst-factor": 1.1, "version_ms": 5000,
	}
}

// writeSettings writes a settings file as the platform does.
func (w *world) writeSettings(path string, fields map[string]any) {
	all := map[string]any{
		"zone": "z1", "region": "r1", "zones": map[string]string{"z1": "r1"}, "inner-ports": []int{w.port, w.port + 15}, "bootstrap": true, "fault-counted": false,
		"data-dir": nil, "discovery": "platform", "entry": "vip", "beat-interval-ms": beatInterval.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"},
		"bounds":    bounds(),
		"platform":  map[string]any{"address": w.storeAddress, "form": "objects", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1 << 20, "ttl-min-ms": 1000},
	}
	for k, v := range fields {
		all[k] = v
	}
	data, err := json.MarshalIndent(all, "", "  ")
	must(err)
	must(os.WriteFile(path+".new", data, 0o644))
	must(os.Rename(path+".new", path))
}

// gateway is one entry program.
type gateway struct {
	*process
	front, ready string
	fields       map[string]any
}

// newGateway writes the settings of an entry. The bounds of b replace those of the
// deployment.
func (w *world) newGateway(b map[string]any) *gateway {
	w.gateways++
	ip := w.ip(2, w.gateways)
	g := &gateway{front: fmt.Sprintf("%s:%d", ip, w.freePort(ip)), ready: fmt.Sprintf("%s:%d", ip, w.freePort(ip))}
	name := fmt.Sprintf("front-%d", w.gateways)
	g.fields = map[string]any{
		"node-name": name, "role": "gateway", "machine-class": "front", "serves": []string{"front"}, "ip": ip,
		"listen": map[string]string{"front": g.front, "ready": g.ready}, "limits": map[string]any{"cpu-share": 0.304, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000, "disk-mb": 0},
	}
	g.process = w.newProcess(name, "target/hyssoproad-gateway")
	g.setBounds(w, b)
	return g
}

// setBounds writes the settings anew.
func (g *gateway) setBounds(w *world, b map[string]any) {
	all := bounds()
	for k, v := range b {
		all[k] = v
	}
	g.fields["bounds"] = all
	w.writeSettings(g.settings, g.fields)
}

// isReady reports whether the entry answers the balancer's check with 200.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + g.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady() {
	for end := time.Now().Add(15 * time.Second); !g.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			must(errors.New(g.name + " does not become ready"))
		}
	}
}

// newOrderer writes the settings of the program beside an engine.
func (w *world) newOrderer(e *engine) *process {
	w.orderers++
	name := fmt.Sprintf("side-%d", w.orderers)
	p := w.newProcess(name, "target/hyssoproad-orderer")
	w.writeSettings(p.settings, map[string]any{
		"node-name": name, "role": "orderer", "machine-class": "side", "serves": []string{"side"}, "ip": e.ip, "app": e.address, "listen": map[string]string{},
		"limits": map[string]any{"cpu-share": 0.32, "cores": 1, "memory-mb": 216, "max-fds": 4096, "link-mbps": 2000, "disk-mb": 0},
	})
	return p
}

func (w *world) newProcess(name, program string) *process {
	p := &process{name: name, program: program, settings: filepath.Join(w.dir, name+".json")}
	w.processes = append(w.processes, p)
	return p
}

// start starts the program, also again once it has ended.
func (p *process) start(w *world) {
	log, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	must(err)
	p.cmd = exec.Command(p.program)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "HYSSOPROAD_BOOT=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	must(p.cmd.Start())
	p.done = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	w.note("%s starts", p.name)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) kill() {
	if p.done == nil {
		return
	}
	if p.running() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	<-p.done
}

// publish writes the configuration.
func (w *world) publish(version int, routes, services []map[string]any) {
	spec, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	must(err)
	must(w.store.Publish(platform.KindConfiguration, platform.ConfigurationName, spec))
	w.note("configuration %d is acknowledged", version)
}

const (
	host         = "review.example"
	beatInterval = 1200 * time.Millisecond
)

var attempts atomic.Uint64

// newAttempt returns the id of a client attempt.
func newAttempt() string { return fmt.Sprintf("%016x", 0xa000000000000000+attempts.Add(1)) }

// answer is what a client has seen of an attempt.
type answer struct {
	attempt  string
	entry    *gateway
	sent     time.Time
	ended    time.Time
	status   int // 0 if there was no complete answer
	err      error
	read     bool // a byte of an answer came
	complete bool
	body     []byte
}

// caller is a client that keeps its connection for many requests.
type caller struct {
	entry *gateway // that the connection goes to
	nc    net.Conn
	r     *bufio.Reader
}

// connect opens a connection to an entry.
func (c *caller) connect(g *gateway) error {
	nc, err := net.DialTimeout("tcp4", g.front, time.Second)
	if err != nil {
		return err
	}
	c.entry, c.nc, c.r = g, nc, bufio.NewReader(nc)
	return nil
}

// close closes the connection.
func (c *caller) close() {
	if c.nc != nil {
		_ = c.nc.Close()
		c.nc = nil
	}
}

// send sends an attempt on the connection and reads the whole answer. The connection is closed
// after an answer that says so, and after a failure.
func (c *caller) send(method, path string, header map[string]string, limit time.Duration) (a answer) {
	a = answer{attempt: header["X-Attempt-Id"], entry: c.entry, sent: time.Now()}
	defer func() {
		a.ended = time.Now()
		if !a.complete {
			a.status = 0
			c.close()
		}
	}()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, limit.Milliseconds())
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	b.WriteString("Content-Length: 0\r\n\r\n")
	_ = c.nc.SetDeadline(a.sent.Add(limit))
	if _, a.err = io.WriteString(c.nc, b.String()); a.err != nil {
		return a
	}
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		a.err = err
		return a
	}
	a.status = res.StatusCode
	a.body, a.err = io.ReadAll(res.Body)
	_ = res.Body.Close()
	if a.complete = a.err == nil; a.complete && res.Close {
		c.close()
	}
	return a
}

// call sends one attempt on a new connection and reads the whole answer. The client leaves
// after the time limit.
func call(address, method, path string, header map[string]string, limit time.Duration) answer {
	a := answer{attempt: header["X-Attempt-Id"], sent: time.Now()}
	request, err := http.NewRequest(method, "http://"+address+path, nil)
	must(err)
	request.Host = host
	for k, v := range header {
		request.Header[k] = []string{v}
	}
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	res, err := client.Do(request)
	if err == nil {
		a.status, a.read = res.StatusCode, true
		a.body, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
	}
	a.err, a.complete, a.ended = err, err == nil, time.Now()
	if err != nil {
		a.status = 0
	}
	return a
}
