package standin

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	// The platform's balancer probes each entry once a second and takes it out of
	// rotation after two failed probes in a row.
	balancerInterval         = time.Second
	balancerFailureThreshold = 2
)

// BalancedEntry is an entry behind the balancer.
type BalancedEntry struct {
	Callers   string // address
	Readiness string // address
	failures  int
}

// Balancer is a fake of the platform's load balancer.
type Balancer struct {
	mu      sync.Mutex
	entries []*BalancedEntry
}

// NewBalancer returns a balancer for the entries. An entry joins the rotation
// after its first successful probe.
func NewBalancer(entries []BalancedEntry) *Balancer {
	b := &Balancer{}
	for _, e := range entries {
		e.failures = balancerFailureThreshold
		b.entries = append(b.entries, &e)
	}
	return b
}

// Run probes the readiness of the entries until ctx is done.
func (b *Balancer) Run(ctx context.Context) {
	client := &http.Client{Timeout: balancerInterval}
	ticker := time.NewTicker(balancerInterval)
	defer ticker.Stop()
	for {
		for _, e := range b.entries {
			go b.probe(client, e)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *Balancer) probe(client *http.Client, e *BalancedEntry) {
	res, err := client.Get("http://" + e.Readiness + platform.ReadinessPath)
	ready := err == nil && res.StatusCode == http.StatusOK
	if err == nil {
		_ = res.Body.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if ready {
		e.failures = 0
		return
	}
	e.failures++
}

// Ready returns the number of entries in rotation.
func (b *Balancer) Ready() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.rotation())
}

// rotation returns the entries in rotation. The caller holds mu.
func (b *Balancer) rotation() []*BalancedEntry {
	var ready []*BalancedEntry
	for _, e := range b.entries {
		if e.failures < balancerFailureThreshold {
			ready = append(ready, e)
		}
	}
	return ready
}

// Dial connects a client to the entry that its hash selects. Each further
// attempt selects the next entry. If fewer than half of the entries are in
// rotation, Dial selects from all of them.
func (b *Balancer) Dial(ctx context.Context, client, attempt int) (net.Conn, error) {
	b.mu.Lock()
	candidates := b.rotation()
	if 2*len(candidates) < len(b.entries) {
		candidates = b.entries
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(strconv.Itoa(client))) // never fails
	address := candidates[(int(h.Sum32())+attempt)%len(candidates)].Callers
	b.mu.Unlock()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", address)
	return conn, errors.Trace(err)
}
