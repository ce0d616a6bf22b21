//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the small deployment that the cases use.
const (
	grace     = 8 * time.Second
	lossSlack = 200 * time.Millisecond
	// restartDelay is the time until the platform starts a process again.
	restartDelay = 500 * time.Millisecond
)

const (
	callersPort, readyPort, controlPort, innerPort, enginePort, storePort = 8149, 8141, 8144, 7380, 8145, 8142

	serviceName = "draft-helpers"
	host        = "desk.example"
)

// deployment is a small deployment on loopback addresses.
type deployment struct {
	dir     string
	octet   int // second octet of its addresses
	store   *store
	engines []*engine
	nodes   []*node
}

// node is a VM of the system with its process.
type node struct {
	name, program, ip, dir string

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	stopping bool // the run is over
}

// newDeployment finds free loopback addresses and starts the store.
func newDeployment() (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, store: newStore()}
	for d.octet = 90; d.octet < 250; d.octet++ {
		l, err := net.Listen("tcp4", d.address(9, 1, storePort))
		if err == nil {
			d.store.serve(l)
			return d, nil
		}
	}
	return nil, fmt.Errorf("no free loopback address")
}

func (d *deployment) ip(net, i int) string { return fmt.Sprintf("127.%d.%d.%d", d.octet, net, i) }

func (d *deployment) address(net, i, port int) string {
	return fmt.Sprintf("%s:%d", d.ip(net, i), port)
}

// settings returns the fields that the settings files of all machines have in common.
func (d *deployment) settings(name, class, zone, ip string) map[string]any {
	return map[string]any{
		"node-name": name, "role": class, "machine-class": class, "serves": []string{class}, "ip": ip, "zone": zone, "region": "mid-sweden",
		"zones": map[string]string{"vasteras": "mid-sweden", "uppsala": "mid-sweden"}, "listen": map[string]string{}, "inner-ports": []int{innerPort, innerPort + 15},
		"seed-nodes": []string{}, "bootstrap": true, "fault-counted": false,
		"limits":   map[string]any{"cpu-share": 0.304, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "vip", "beat-interval-ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"},
		"fault-tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "addr-reuse-s": 2, "stable-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": grace.Seconds(),
			"loss-slack-ms": lossSlack.Milliseconds(), "config-apply-ms": 2000, "downgrade-slack-ms": 250, "skew-max-ms": 5000,
			"retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-budget-slack": 54, "recovery-s": 12, "pass-ms": 120, "retry-after-s": 0,
			"fencing-required": false, "lease-ms": 3000, "thaw-slack-ms": 300, "ceiling-window-s": 5, "load-burst-factor": 1.1, "version_ms": 5000,
		},
		"platform": map[string]any{
			"address": d.address(9, 1, storePort), "form": "objects", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1 << 20, "ttl-min-ms": 1000,
		},
	}
}

// addGateway starts a gateway in a zone.
func (d *deployment) addGateway(i int, zone string) (*node, error) {
	ip := d.ip(1, i)
	s := d.settings(fmt.Sprintf("front-%s-%d", zone, i), "front", zone, ip)
	s["listen"] = map[string]string{"front": d.address(1, i, callersPort), "ready": d.address(1, i, readyPort), "control": d.address(1, i, controlPort)}
	return d.start(s, "gateway", ip)
}

// addEngine starts an engine with the orderer beside it.
func (d *deployment) addEngine(i int, zone string) (*engine, error) {
	ip := d.ip(2, i)
	e := newEngine(fmt.Sprintf("i-%08x", 0x5eed0000+i), d.address(2, i, enginePort), zone)
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		return nil, err
	}
	e.serve(l)
	d.engines = append(d.engines, e)
	s := d.settings(fmt.Sprintf("side-%s-%d", zone, i), "side", zone, ip)
	s["app"], s["service"] = e.address, serviceName
	if _, err := d.start(s, "orderer", ip); err != nil {
		return nil, err
	}
	d.store.put("servers", e.instance, e.entry(serviceName))
	return e, nil
}

// start writes a settings file and starts the process of a role, with the command of the
// deploy file.
func (d *deployment) start(settings map[string]any, role, ip string) (*node, error) {
	name := settings["node-name"].(string)
	command, err := runCommand(role)
	if err != nil {
		return nil, err
	}
	n := &node{name: name, program: command, ip: ip, dir: d.dir}
	b, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(n.file(), b, 0o644); err != nil {
		return nil, err
	}
	d.nodes = append(d.nodes, n)
	if err := n.run(); err != nil {
		return nil, err
	}
	go n.supervise()
	return n, nil
}

// runCommand returns the command of a role in the deploy file.
func runCommand(role string) (string, error) {
	b, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return "", err
	}
	_, section, _ := strings.Cut(string(b), "[roles."+role+"]")
	m := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindStringSubmatch(section)
	if m == nil {
		return "", fmt.Errorf("no command of role %s", role)
	}
	return m[1], nil
}

func (n *node) file() string { return filepath.Join(n.dir, n.name+".json") }

func (n *node) run() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping {
		return nil
	}
	words := strings.Fields(n.program)
	log, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"HYSSOPROAD_BOOT=" + n.file(), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	go func() { _ = cmd.Wait(); close(exited) }()
	return nil
}

// supervise starts the process again whenever it ends, as the platform does.
func (n *node) supervise() {
	for {
		n.mu.Lock()
		exited, stopping := n.exited, n.stopping
		n.mu.Unlock()
		if stopping {
			return
		}
		<-exited
		time.Sleep(restartDelay)
		if err := n.run(); err != nil {
			fmt.Fprintln(os.Stderr, n.name, err)
			return
		}
	}
}

// stop ends the process as the platform does for planned work: SIGTERM, and SIGKILL after
// the grace period. It returns when the process has ended.
func (n *node) stop() (killed bool) {
	n.mu.Lock()
	exited, process := n.exited, n.cmd.Process
	n.mu.Unlock()
	_ = process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
		return false
	case <-time.After(grace):
		_ = process.Kill()
		<-exited
		return true
	}
}

// close ends all processes.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.mu.Lock()
		n.stopping = true
		exited := n.exited
		_ = n.cmd.Process.Kill()
		n.mu.Unlock()
		<-exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// record returns what the engines know of a request.
func (d *deployment) record(attempt string) (r run, reached bool) {
	for _, e := range d.engines {
		if v, ok := e.record(attempt); ok && (v.Rejected == 0 || !reached) {
			r, reached = v, true
		}
	}
	return r, reached
}
