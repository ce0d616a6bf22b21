//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// wireClient is a client with one connection, which it keeps.
type wireClient struct {
	c  *clients
	nc net.Conn
	r  *bufio.Reader
}

func (c *clients) dial(i int) (*wireClient, error) {
	nc, err := net.Dial("tcp4", c.w.addr(1, i, c.w.ports.front))
	if err != nil {
		return nil, err
	}
	return &wireClient{c: c, nc: nc, r: bufio.NewReader(nc)}, nil
}

// send sends a request whose head has further lines, and reads the head of its answer.
func (k *wireClient) send(method, path string, limit time.Duration, lines ...string) (*http.Response, string, error) {
	id := k.c.next()
	k.c.w.rec.row("client sends %s %s as %s %q", method, path, id, lines)
	_ = k.nc.SetDeadline(time.Now().Add(limit + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, hostName, id, limit.Milliseconds())
	for _, line := range lines {
		head += line + "\r\n"
	}
	if method == "POST" {
		head += "Content-Length: 2\r\n\r\n{}"
	} else {
		head += "\r\n"
	}
	if _, err := io.WriteString(k.nc, head); err != nil {
		return nil, id, err
	}
	res, err := http.ReadResponse(k.r, &http.Request{Method: method})
	return res, id, err
}

// afterEnd: a gateway is killed when its clients have all events of their streams but not the
// end, so that they take the streams up again after the last event.
func afterEnd(w *world, trouble bool) (int, error) {
	log := &runLog{}
	w.store.put("config", "main", configuration(7))
	const events = 30
	for i := 1; i <= 3; i++ {
		e := newEngine(w, log, draftService, fmt.Sprintf("i-draft-%d", i), w.addr(2, i, w.ports.app), true, 64)
		e.loaded, e.adapters["a1"] = true, 1
		e.linger = 700 * time.Millisecond
		d := newEngine(w, log, deskService, fmt.Sprintf("i-desk-%d", i), w.addr(3, i, w.ports.app), false, 30)
		for _, e := range []*engine{e, d} {
			if err := e.serve(); err != nil {
				return unable, err
			}
		}
		if _, err := w.orderer(i); err != nil {
			return unable, err
		}
	}
	var gateways []*proc
	for i := 1; i <= 2; i++ {
		g, err := w.gateway(i)
		if err != nil {
			return unable, err
		}
		gateways = append(gateways, g)
	}
	for i := 1; i <= 2; i++ {
		if err := w.awaitReady(i, 15*time.Second); err != nil {
			return unable, err
		}
	}
	time.Sleep(4 * time.Second)
	c := newClients(w)
	model := []string{"X-Model: " + modelName + "/a1", fmt.Sprintf("X-Token-Count: 1000,%d", 3*events)}
	var bad, resumed, all atomic.Int64
	for range 10 {
		c.wait.Go(func() {
			k, err := c.dial(1)
			if err != nil {
				return
			}
			defer k.nc.Close()
			res, id, err := k.send("POST", "/draft/x", 15*time.Second, model...)
			if err != nil {
				return
			}
			n := 0
			for lines := bufio.NewReader(res.Body); ; {
				line, lineErr := lines.ReadString('\n')
				if strings.HasPrefix(line, "id: ") {
					if n++; n == events {
						all.Add(1)
					}
				}
				if lineErr != nil {
					err = lineErr
					break
				}
			}
			w.rec.row("client got for %s: status %d, %d events, then %v", id, res.StatusCode, n, err)
			if err == io.EOF || n < events {
				return
			}
			// The connection broke after the last event.
			again, err := c.dial(2)
			if err != nil {
				return
			}
			defer again.nc.Close()
			res, id, err = again.send("POST", "/draft/x", 15*time.Second, append(model, fmt.Sprintf("Last-Event-Id: %d", events))...)
			if err != nil {
				w.rec.row("client got for %s: %v", id, err)
				return
			}
			rest, _ := io.ReadAll(res.Body)
			resumed.Add(1)
			w.rec.row("client got for %s: status %d, stamp %q, transfer coding %q, body %q", id, res.StatusCode, res.Header.Get("X-Server-Stamp"), res.TransferEncoding, rest)
			_, id, err = again.send("GET", "/look/x", time.Second)
			if err != nil {
				bad.Add(1)
				w.rec.row("BROKEN: what the client got on the kept connection in answer to %s is no answer: %v", id, err)
				return
			}
			w.rec.row("client got an answer to %s", id)
		})
	}
	if trouble {
		for until := time.Now().Add(20 * time.Second); all.Load() < 10 && time.Now().Before(until); {
			time.Sleep(5 * time.Millisecond)
		}
		gateways[0].signal(syscall.SIGKILL)
	}
	c.wait.Wait()
	w.rec.row("%d of 10 streams had all events, %d were taken up again", all.Load(), resumed.Load())
	switch {
	case all.Load() < 10, trouble && resumed.Load() == 0:
		return unable, fmt.Errorf("%d streams had all events, %d were taken up again", all.Load(), resumed.Load())
	case bad.Load() > 0:
		return broken, nil
	}
	return held, nil
}
