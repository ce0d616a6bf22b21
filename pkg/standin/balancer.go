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
	// The platform's balancer asks each entry once a second, and takes it out of
	// rotation after two misses.
	balancerInterval = time.Second
	balancerMisses   = 2
)

// BalancedEntry is one entry that the balancer sends callers to.
type BalancedEntry struct {
	Callers   string // address
	Readiness string // address
	misses    int
}

// Balancer is the platform's balancer.
type Balancer struct {
	mu      sync.Mutex
	entries []*BalancedEntry
}

// NewBalancer returns a balancer over entries that are not yet in rotation.
func NewBalancer(entries []BalancedEntry) *Balancer {
	b := &Balancer{}
	for _, e := range entries {
		e.misses = balancerMisses
		b.entries = append(b.entries, &e)
	}
	return b
}

// Run asks the entries for their readiness until ctx ends.
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
		e.misses = 0
		return
	}
	e.misses++
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
		if e.misses < balancerMisses {
			ready = append(ready, e)
		}
	}
	return ready
}

// Dial connects a client to an entry by a hash; retries reach others. If fewer
// than half of the entries are in rotation, all are used.
func (b *Balancer) Dial(ctx context.Context, client, try int) (net.Conn, error) {
	b.mu.Lock()
	list := b.rotation()
	if 2*len(list) < len(b.entries) {
		list = b.entries
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(strconv.Itoa(client))) // never fails
	address := list[(int(h.Sum32())+try)%len(list)].Callers
	b.mu.Unlock()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", address)
	return conn, errors.Trace(err)
}
