//go:build review

// Command standins3 plays the cases of the third review: it starts the project's two
// programs as processes and plays the clients, the engines and the platform's store
// around them.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	host      = "desk.example"
	modelName = "m0"
	frontPort = 8149
	readyPort = 8141
	appPort   = 8145
	storePort = 8142
	peerPort  = 7380
)

// record writes record.txt: each line has the time since the start.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: bufio.NewWriter(f), file: f, began: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) { r.at(time.Now(), format, args...) }

func (r *record) at(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{t.Sub(r.began).Seconds()}, args...)...)
}

func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// deployment is the stand-ins around the processes.
type deployment struct {
	*record
	dir       string
	net       int // second octet of the loopback addresses
	store     *standin.Objects
	processes []*process
	bounds    map[string]any
	zone      string
	region    string
}

// smallBounds are the bounds of bsl-route.
func smallBounds() map[string]any {
	return map[string]any{
		"seed-lag-s": 3, "addr-reuse-s": 2, "stable-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
		"config-apply-ms": 2000, "downgrade-slack-ms": 250, "skew-max-ms": 5000, "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-budget-slack": 54,
		"recovery-s": 12, "pass-ms": 120, "retry-after-s": 0, "fencing-required": false, "lease-ms": 3000, "thaw-slack-ms": 300, "ceiling-window-s": 5,
		"load-burst-factor": 1.1, "version_ms": 5000,
	}
}

// outletBounds are the bounds of poca-outlets-grown.
func outletBounds() map[string]any {
	b := smallBounds()
	for k, v := range map[string]any{
		"stable-ms": 4000, "ack-ms": 6000, "catch-up-s": 6, "drain-ms": 3000, "config-apply-ms": 3000, "skew-max-ms": 6000, "revoke-strict": true, "revoke-ms": 5000,
		"retry-budget-slack": 102, "quota-window-s": 8, "quota-excess": 0.1, "quota-slack": 11000, "recovery-s": 15, "pass-ms": 200,
	} {
		b[k] = v
	}
	return b
}

// newDeployment starts the store on a loopback network that nobody uses.
func newDeployment(rec *record, dir string) (*deployment, error) {
	d := &deployment{record: rec, dir: dir, zone: "vasteras", region: "mid-sweden", bounds: smallBounds(), store: standin.NewObjects(1)}
	for range 50 {
		d.net = 60 + rand.IntN(180)
		l, err := net.Listen("tcp4", d.address(9, 1, storePort))
		if err != nil {
			continue
		}
		r := router.New()
		d.store.Register(r)
		go func() { _ = fasthttp.Serve(l, r.Handler) }()
		return d, nil
	}
	return nil, fmt.Errorf("no free loopback network")
}

func (d *deployment) ip(subnet, i int) string { return fmt.Sprintf("127.%d.%d.%d", d.net, subnet, i) }

func (d *deployment) address(subnet, i, port int) string {
	return net.JoinHostPort(d.ip(subnet, i), strconv.Itoa(port))
}

func (d *deployment) gatewayAddress(i int) string { return d.address(1, i, frontPort) }
func (d *deployment) engineAddress(i int) string  { return d.address(2, i, appPort) }

// process is one process of the system.
type process struct {
	d        *deployment
	name     string
	program  string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
}

// addProcess writes the settings of a process.
func (d *deployment) addProcess(name, program string, extra map[string]any, ip string, memory int) (*process, error) {
	settings := map[string]any{
		"node-name": name, "role": program, "machine-class": "front", "serves": []string{"front"}, "ip": ip, "zone": d.zone, "region": d.region,
		"zones": map[string]string{d.zone: d.region}, "listen": map[string]string{}, "inner-ports": []int{peerPort, peerPort + 15},
		"seed-nodes": []string{}, "bootstrap": true, "fault-counted": false,
		"limits":   map[string]any{"cpu-share": 0.32, "cores": 1, "memory-mb": memory, "max-fds": 4096, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "vip", "beat-interval-ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"},
		"fault-tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0}, "bounds": d.bounds,
		"platform": map[string]any{"address": d.address(9, 1, storePort), "form": "objects", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
	}
	for k, v := range extra {
		settings[k] = v
	}
	b, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return nil, err
	}
	file := filepath.Join(d.dir, name+".json")
	if err := os.WriteFile(file, b, 0o644); err != nil {
		return nil, err
	}
	p := &process{d: d, name: name, program: program, settings: file}
	d.processes = append(d.processes, p)
	return p, nil
}

func (d *deployment) addGateway(i int) (*process, error) {
	return d.addProcess(fmt.Sprintf("front-%d", i), "hyssoproad-gateway", map[string]any{
		"listen": map[string]string{"front": d.gatewayAddress(i), "ready": d.address(1, i, readyPort)},
	}, d.ip(1, i), 284)
}

func (d *deployment) addOrderer(i int, service string) (*process, error) {
	return d.addProcess(fmt.Sprintf("side-%d", i), "hyssoproad-orderer", map[string]any{
		"app": d.engineAddress(i), "service": service, "machine-class": "side", "serves": []string{"side"},
	}, d.ip(2, i), 216)
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	args := []string{}
	if level := os.Getenv("LOG_LEVEL"); level != "" {
		args = append(args, "-log-level", level)
	}
	cmd := exec.Command(filepath.Join("target", p.program), args...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsPathEnv + "=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		err := cmd.Wait()
		p.d.printf("process %s (pid %d) has ended: %v", p.name, cmd.Process.Pid, err)
		close(ended)
	}()
	p.d.printf("process %s started, pid %d", p.name, cmd.Process.Pid)
	return nil
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// end kills all processes.
func (d *deployment) end() {
	for _, p := range d.processes {
		if p.cmd != nil && !p.hasEnded() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
	}
}

// startAll starts all processes and waits until the gateways are ready.
func (d *deployment) startAll(gateways int) error {
	for _, p := range d.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	client := &http.Client{Timeout: time.Second}
	for i := 1; i <= gateways; i++ {
		for until := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			res, err := client.Get("http://" + d.address(1, i, readyPort) + "/readiness")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("gateway %d is not ready: %v", i, err)
			}
		}
	}
	return nil
}

// publish writes an object as the operator or an engine does, and returns when the store has
// acknowledged it.
func (d *deployment) publish(kind platform.Kind, name string, v any) time.Time {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	if err := d.store.Publish(kind, name, b); err != nil {
		panic(err)
	}
	return time.Now()
}

// smallEngine is the engine of bsl-route's model service, as its configuration states it.
func smallEngine() map[string]any {
	return map[string]any{
		"slots": 64, "kv-capacity-tokens": 133316, "kv-token-bytes": 163840, "link-mbps": 180000.0, "moves": true, "backups": true, "stride": 3, "max-count": 12,
		"host-mb": 150000.0, "disk-mb": 450000.0, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle_s": 5.0, "mb": 75600.0, "adapter-slots": 21, "loads-per-s": 3.3,
		"models": []any{map[string]any{"name": modelName, "mb": 72700.0, "load-s": 1.2, "adapters": 3000, "adapter-mb": 66.0, "warm-s": 1.2, "disk-s": 1.6}},
	}
}

// outletEngine is the engine of poca-outlets-grown's model service.
func outletEngine() map[string]any {
	e := smallEngine()
	e["kv-capacity-tokens"], e["link-mbps"], e["stride"], e["mb"], e["adapter-slots"], e["loads-per-s"] = 119867, 130000.0, 4, 75000.0, 14, 16.0
	e["models"] = []any{map[string]any{"name": modelName, "mb": 72700.0, "load-s": 5.7, "adapters": 10000, "adapter-mb": 66.0, "warm-s": 1.2, "disk-s": 1.6}}
	return e
}

var limits = map[string]int{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}

// startWorker starts an engine of the project's stand-ins and lists it in the store.
func (d *deployment) startWorker(i int, w *standin.Worker) error {
	l, err := net.Listen("tcp4", d.engineAddress(i))
	if err != nil {
		return err
	}
	w.Serve(l)
	go func() {
		for {
			d.beat(i, w)
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return nil
}

func (d *deployment) beat(i int, w *standin.Worker) {
	_ = d.store.Publish(platform.KindTargets, string(w.Instance()), w.Entry(d.engineAddress(i)))
}

// answer is what a client has got.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      error
	sent, at time.Time
}

// ask sends one request on a new connection.
func ask(ctx context.Context, address, method, path string, header map[string]string, body []byte) answer {
	t := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", address)
	}}
	defer t.CloseIdleConnections()
	var r io.Reader
	if body != nil {
		r = strings.NewReader(string(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, r)
	if err != nil {
		return answer{err: err}
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	a := answer{sent: time.Now()}
	res, err := t.RoundTrip(req)
	if err != nil {
		a.err, a.at = err, time.Now()
		return a
	}
	defer res.Body.Close()
	a.status, a.header = res.StatusCode, res.Header
	a.body, a.err = io.ReadAll(res.Body)
	a.complete, a.at = a.err == nil, time.Now()
	return a
}

func (d *deployment) newWorker(i int, s standin.WorkerSettings) *standin.Worker {
	s.Seed = uint64(i)
	if s.Newest == nil {
		s.Newest = func(ident.Adapter) ident.Version { return 1 }
	}
	return standin.NewWorker(s)
}
