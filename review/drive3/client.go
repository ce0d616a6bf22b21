//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// result is what a client got for one attempt.
type result struct {
	attempt  string
	sent     time.Time
	status   int
	stamp    string
	body     string
	events   int
	complete bool
	err      error
}

// clients sends requests to gateways and keeps what they answer.
type clients struct {
	w       *world
	client  *http.Client
	mu      sync.Mutex
	n       int
	results []result
	wait    sync.WaitGroup
}

func newClients(w *world) *clients {
	return &clients{w: w, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 12 * time.Second, DisableCompression: true}}}
}

func (c *clients) next() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return fmt.Sprintf("%08x%08x", 0x9c41d07b, c.n)
}

func (c *clients) keep(r result) {
	c.w.rec.row("client got for %s: status %d, events %d, complete %t, err %v", r.attempt, r.status, r.events, r.complete, r.err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// stream sends a streaming request to gateway i.
func (c *clients) stream(i int, path, adapter string, events int, limit time.Duration) result {
	r := result{attempt: c.next(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit+500*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+c.w.addr(1, i, c.w.ports.front)+path, strings.NewReader("{}"))
	req.Host = hostName
	req.Header.Set("X-Attempt-Id", r.attempt)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	req.Header.Set("X-Model", modelName+"/"+adapter)
	req.Header.Set("X-Token-Count", fmt.Sprintf("1000,%d", events*3))
	c.w.rec.row("client sends stream %s to gateway %d", r.attempt, i)
	res, err := c.client.Do(req)
	if err != nil {
		r.err = err
		c.keep(r)
		return r
	}
	defer res.Body.Close()
	r.status, r.stamp = res.StatusCode, res.Header.Get("X-Server-Stamp")
	reader := bufio.NewReader(res.Body)
	for {
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, "id: ") {
			r.events++
		}
		if err != nil {
			r.complete = err == io.EOF
			if err != io.EOF {
				r.err = err
			}
			break
		}
	}
	c.keep(r)
	return r
}

// plain sends a plain request to gateway i.
func (c *clients) plain(i int, method, path string, limit time.Duration) result {
	r := result{attempt: c.next(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit+500*time.Millisecond)
	defer cancel()
	var body io.Reader
	if method == "POST" {
		body = strings.NewReader("{}")
	}
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+c.w.addr(1, i, c.w.ports.front)+path, body)
	req.Host = hostName
	req.Header.Set("X-Attempt-Id", r.attempt)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	c.w.rec.row("client sends %s %s to gateway %d", method, r.attempt, i)
	res, err := c.client.Do(req)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		r.status, r.stamp, r.body, r.complete = res.StatusCode, res.Header.Get("X-Server-Stamp"), string(text), err == nil
	}
	r.err = err
	c.keep(r)
	return r
}
