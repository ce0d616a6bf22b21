//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// exchange is one request of a client with what the client saw.
type exchange struct {
	Attempt  string
	Gateway  string
	Events   int
	Sent     time.Time // of the last byte; zero if there was no connection
	Ended    time.Time
	Status   int // 0 without an answer
	Complete bool
	Reset    bool // the connection was reset
	Err      string
}

// request describes what a client sends.
type request struct {
	attempt, path, adapter string
	prompt, maxOutput      int // tokens
	events                 int
	deadline               time.Duration
	patience               time.Duration // without an event
}

// send sends a request on a new connection and reads the answer.
func send(address string, q request) *exchange {
	x := &exchange{Attempt: q.attempt, Gateway: address, Events: q.events}
	defer func() { x.Ended = time.Now() }()
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		x.Err = err.Error()
		return x
	}
	defer conn.Close()
	began := time.Now()
	body := `{"prompt":"..."}`
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: %s/%s\r\nX-Token-Count: %d,%d\r\nX-Prompt-Prefix: %s:%d\r\n%s: %d\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		q.path, host, q.attempt, modelName, q.adapter, q.prompt, q.maxOutput, q.attempt, q.prompt, eventsHeader, q.events, q.deadline.Milliseconds(), len(body))
	if _, err := io.WriteString(conn, head+body); err != nil {
		x.Err = err.Error()
		return x
	}
	x.Sent = time.Now()
	x.read(conn, q, began.Add(q.deadline))
	return x
}

func (x *exchange) read(conn net.Conn, q request, deadline time.Time) {
	wait := func() {
		_ = conn.SetReadDeadline(earlier(deadline, time.Now().Add(q.patience)))
	}
	wait()
	r := bufio.NewReader(conn)
	res, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost})
	if err != nil {
		x.fail(err)
		return
	}
	defer res.Body.Close()
	x.Status = res.StatusCode
	var got bytes.Buffer
	buffer := make([]byte, 4<<10)
	for {
		wait()
		n, err := res.Body.Read(buffer)
		got.Write(buffer[:n])
		if err == io.EOF {
			break
		}
		if err != nil {
			x.fail(err)
			return
		}
	}
	if x.Status != http.StatusOK {
		x.Complete = true
		return
	}
	var want bytes.Buffer
	for n := 1; n <= q.events; n++ {
		want.WriteString(eventText(q.attempt, n))
	}
	x.Complete = res.Header.Get("X-Server-Stamp") == stamp(q.attempt) && bytes.Equal(want.Bytes(), got.Bytes())
	if !x.Complete {
		x.Err = "wrong body"
	}
}

func (x *exchange) fail(err error) {
	x.Err = err.Error()
	x.Reset = errors.Is(err, syscall.ECONNRESET)
	var t net.Error
	if errors.As(err, &t) && t.Timeout() {
		x.Err = "gave up"
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// clients collects the exchanges of all clients.
type clients struct {
	mu    sync.Mutex
	all   []*exchange
	group sync.WaitGroup
}

func (c *clients) send(address string, q request) {
	c.group.Go(func() {
		x := send(address, q)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.all = append(c.all, x)
	})
}

// served returns the number of requests that have a complete answer of an engine.
func (c *clients) served() int {
	n := 0
	for _, x := range c.all {
		if x.Complete && x.Status == http.StatusOK {
			n++
		}
	}
	return n
}
