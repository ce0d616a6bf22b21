package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// load sends requests to the gateways for some time, each at its own random times. The
// shares of the gateways are uneven: that of the first one is several times that of the
// last one.
func (h *fleetHarness) load(path string, perSecond float64, d time.Duration) {
	total := 0.0
	for i := range h.gateways {
		total += 1 / float64(i+1)
	}
	end := time.Now().Add(d)
	for i := range h.gateways {
		mean := float64(time.Second) / (perSecond / float64(i+1) / total)
		h.mu.Lock()
		seed := h.random.Uint64()
		h.mu.Unlock()
		go func() {
			random := rand.New(rand.NewPCG(seed, 3))
			for {
				time.Sleep(time.Duration(random.ExpFloat64() * mean))
				if !time.Now().Before(end) || h.isClosed() {
					return
				}
				go h.call(i, path, random.IntN(fleetAdapters))
			}
		}()
	}
}

// call sends one request to a gateway as a caller and counts the response.
func (h *fleetHarness) call(gateway int, path string, adapter int) {
	status := 0
	if res := h.request(gateway, path, adapter); res != nil {
		status = res.StatusCode
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answered[status]++
}

// answers returns the number of callers that got a response with the status.
func (h *fleetHarness) answers(status int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answered[status]
}

// request sends one request to a gateway as a caller and reads the whole response. It
// returns nil if that is incomplete. The end of the path names the account, if any.
func (h *fleetHarness) request(gateway int, path string, adapter int) *http.Response {
	near, far := net.Pipe()
	h.mu.Lock()
	id, g := h.random.Uint64(), h.gateways[gateway]
	h.mu.Unlock()
	go g.serve(far)
	defer near.Close()
	raw := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: %016x\r\nX-Deadline-Ms: 5000\r\nContent-Length: 0\r\n", path, id)
	if strings.HasPrefix(path, "/stream/") {
		raw += fmt.Sprintf("X-Model: %s/a%d\r\nX-Token-Count: 50,10\r\n", streamModel, adapter)
	}
	for _, a := range []ident.Account{limitedAccount, freeAccount} {
		if strings.HasSuffix(path, string(a[:1])) {
			raw += fmt.Sprintf("Api-Key: %s\r\n", a)
		}
	}
	go func() { _, _ = io.WriteString(near, raw+"\r\n") }() // fails if the gateway closes first
	res, err := http.ReadResponse(bufio.NewReader(near), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	time.Sleep(time.Millisecond) // the gateway ends the request before its caller disconnects
	if err != nil {
		return nil
	}
	return res
}

// mostArrivals returns the largest number of requests that reached a target within any
// window between two times.
func (t *fleetTarget) mostArrivals(from, to time.Time, window time.Duration) int {
	all, most := t.arrived(from, to), 0
	for i, first := range all {
		n := 0
		for _, a := range all[i:] {
			if a.at.Before(first.at.Add(window)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
