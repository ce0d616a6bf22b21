package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/platform"
)

// startEngine serves an engine that holds its model, and returns its address.
func startEngine(t *testing.T, s WorkerSettings) (*Worker, string) {
	t.Helper()
	s.Service, s.Model, s.Slots = "s", "m", 8
	w := NewWorker(s)
	w.modelLoaded = true
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := w.Serve(l)
	t.Cleanup(func() { require.NoError(t, server.Close()) })
	return w, l.Addr().String()
}

func engineRequest(t *testing.T, address, attempt, tokens string, eventBytes int) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", nil)
	require.NoError(t, err)
	r.Header.Set(platform.HeaderAttempt, attempt)
	r.Header.Set(platform.HeaderModel, "m")
	r.Header.Set(platform.HeaderTokenCount, tokens)
	r.Header.Set(HeaderEventBytes, fmt.Sprint(eventBytes))
	return r
}

// The engines of the platform crash when the requests that they hold exceed their memory:
// the stand-in does so too, at the first token above it.
func TestEngineEndsWhenItsRequestsExceedItsMemory(t *testing.T) {
	for _, test := range []struct {
		second  string
		crashes int64
	}{{"89,10", 0}, {"90,10", 0}, {"91,10", 1}} {
		var crashes atomic.Int64
		_, address := startEngine(t, WorkerSettings{KVTokens: 200, EventPause: 20 * time.Millisecond, OnCrash: func() { crashes.Add(1) }})
		first, err := http.DefaultClient.Do(engineRequest(t, address, "1", "90,10", 0))
		require.NoError(t, err)
		second, err := http.DefaultClient.Do(engineRequest(t, address, "2", test.second, 0))
		require.Equal(t, test.crashes > 0, err != nil, "tokens %s: %v", test.second, err)
		for _, res := range []*http.Response{first, second} {
			if res == nil {
				continue // the engine has ended
			}
			_, _ = io.Copy(io.Discard, res.Body)
			require.NoError(t, res.Body.Close())
		}
		require.Equal(t, test.crashes, crashes.Load(), "tokens %s", test.second)
	}
}

// The engines of the platform cut off a response that nobody reads for some seconds, and
// end the run; one that is read slowly goes on.
func TestEngineCutsOffAResponseThatStaysUnread(t *testing.T) {
	const unread = 500 * time.Millisecond
	cut := make(chan WorkerEvent, 1)
	_, address := startEngine(t, WorkerSettings{UnreadTime: unread, OnEvent: func(e WorkerEvent) {
		if e.Kind == WorkerCutUnread {
			cut <- e
		}
	}})
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		require.NoError(t, c.(*net.TCPConn).SetReadBuffer(64<<10))
		require.NoError(t, engineRequest(t, address, "1", "1,100", 100<<10).Write(c))
		return c
	}
	c := dial()
	defer c.Close()
	select {
	case e := <-cut:
		require.EqualValues(t, "1", e.Attempt)
	case <-time.After(10 * time.Second):
		require.Fail(t, "not cut off")
	}
	slow := dial()
	defer slow.Close()
	buffer := make([]byte, 16<<10)
	for began := time.Now(); time.Since(began) < 3*unread; {
		_, err := io.ReadFull(slow, buffer)
		require.NoError(t, err)
		time.Sleep(10 * time.Millisecond)
	}
	require.Empty(t, cut)
}

// Guards against a stand-in that ends a response properly which it does not complete: callers
// were sent an empty success of an engine that was mute or had crashed.
func TestEngineCompletesNoResponseThatItBreaksOff(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults WorkerFaults
		begun  string // what the caller reads before it ends its requests
	}{
		{"mute", WorkerFaults{NoResponseShare: 1}, ""},
		{"crashing", WorkerFaults{DeadlyPart: "p"}, ""},
		{"sending events", WorkerFaults{}, "id: 1\n"},
	} {
		var crashed atomic.Bool
		w, address := startEngine(t, WorkerSettings{EventPause: time.Millisecond, OnCrash: func() { crashed.Store(true) }})
		w.SetFaults(test.faults)
		c, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		defer c.Close()
		request := engineRequest(t, address, "1", "1,100000", 0)
		request.Header.Set(platform.HeaderPromptParts, "p:1,own:1")
		require.NoError(t, request.Write(c))
		var received strings.Builder
		for buffer := make([]byte, 1); !strings.HasSuffix(received.String(), test.begun); {
			_, err := io.ReadFull(c, buffer)
			require.NoError(t, err, test.name)
			received.Write(buffer)
		}
		require.NoError(t, c.(*net.TCPConn).CloseWrite())
		_, err = io.Copy(&received, c)
		require.NoError(t, err, test.name)
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(received.String())), request)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, test.name)
		require.Equal(t, test.faults.DeadlyPart != "", crashed.Load(), test.name)
	}
}

// Guards against a stand-in whose late runs outlive their engine: the soak took them for runs
// at two engines at once.
func TestLateRunEndsWithItsEngine(t *testing.T) {
	ended := make(chan WorkerEvent, 1)
	w, address := startEngine(t, WorkerSettings{EventPause: time.Millisecond, OnEvent: func(e WorkerEvent) {
		if e.Kind == WorkerEnded {
			ended <- e
		}
	}})
	w.SetFaults(WorkerFaults{LateEndShare: 1})
	response, err := http.DefaultClient.Do(engineRequest(t, address, "1", "1,10", 0))
	require.NoError(t, err)
	defer response.Body.Close()
	w.End() // the connection stays open, so that nothing else ends the run
	select {
	case e := <-ended:
		require.EqualValues(t, "1", e.Attempt)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the run goes on")
	}
}

// A worker refuses a request, and sends the refusal once more while the next request on the
// connection runs.
func TestRefusalIsSentOnceMoreIntoTheNextRequest(t *testing.T) {
	w, address := startEngine(t, WorkerSettings{})
	w.SetFaults(WorkerFaults{ShedShare: 1, RefusalCopyShare: 1})
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer c.Close()
	r := bufio.NewReader(c)
	var ids []string
	for i, reads := range []int{1, 2} {
		require.NoError(t, engineRequest(t, address, fmt.Sprint(i), "1,1", 0).Write(c))
		for range reads {
			res, err := http.ReadResponse(r, nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, res.Body)
			require.NoError(t, err)
			ids = append(ids, fmt.Sprint(res.Header.Get(platform.HeaderAttempt), " ", res.StatusCode))
		}
		w.SetFaults(WorkerFaults{})
	}
	require.Equal(t, []string{"0 503", "0 503", "1 200"}, ids)
}
