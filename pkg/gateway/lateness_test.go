package gateway

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/platform"
)

// respondAfter returns a reply that states a pace and streams one event after each wait.
func respondAfter(pace string, waits ...time.Duration) reply {
	return func(w net.Conn, _ receivedRequest) bool {
		if _, err := io.WriteString(w, strings.Replace(streamHead, "\r\n\r\n", "\r\nX-Instance-Load: 3,0,48,"+pace+"\r\n\r\n", 1)); err != nil {
			return false
		}
		for i, wait := range waits {
			time.Sleep(wait)
			if _, err := io.WriteString(w, chunk(events(i+1, i+1))); err != nil {
				return false
			}
		}
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err == nil
	}
}

// Operators find out why streams are late: each late stream counts once, by its first event
// or else by a pause, and by the pace at the head of its response.
func TestLateStreamsAreCountedByTheirCause(t *testing.T) {
	const ms = time.Millisecond
	testAgentHarness(t, func(t *testing.T, h *agentHarness) {
		var rows bytes.Buffer
		h.Log = common.NewLog(&rows, "info")
		scope := tally.NewTestScope("", nil)
		h.metrics = newMetrics(scope)
		h.script(respondAfter("100", 50*ms, 300*ms, 50*ms), respondAfter("250", 101*ms, 301*ms), respondAfter("60", 50*ms, 301*ms, 20*ms), respondAfter("x", 50*ms, 400*ms))
		for range 4 {
			h.sendStream()
		}
		late := make(map[string]int64)
		for name, c := range scope.Snapshot().Counters() {
			if strings.HasPrefix(name, "late_streams") && c.Value() > 0 {
				late[c.Tags()["cause"]+" "+c.Tags()["pace"]] = c.Value()
			}
		}
		require.Equal(t, map[string]int64{"first-event very-slow": 1, "pause fast": 1, "pause unknown": 1}, late)
		require.Equal(t, 3, strings.Count(rows.String(), `msg="late stream"`), rows.String())
		require.Contains(t, rows.String(), "cause=pause")
		require.Contains(t, rows.String(), "pace=60 running=3")
		require.Len(t, h.paces, 4, "the agent hears of the pause of the stream with a pace")
		require.Equal(t, int64(301), h.paces[3].PauseMS)
	})
}

// An engine fails and nearly all streams are late: the rows are bounded, and the next one
// tells how many were left out.
func TestRowsAboutLateStreamsAreBounded(t *testing.T) {
	l := testGateway().lateRows
	logged := 0
	for i := range 1000 {
		if _, ok := l.Take(loadStart.Add(time.Duration(i) * time.Millisecond / 2)); ok {
			logged++
		}
	}
	require.Equal(t, maxLateRows, logged)
	skipped, ok := l.Take(loadStart.Add(lateRowsPeriod))
	require.True(t, ok)
	require.Equal(t, 1000-maxLateRows, skipped)
}

func TestPaceClassesCoverAllPaces(t *testing.T) {
	for _, test := range []struct {
		load string
		want string
	}{{"1,0,8", "unknown"}, {"1,0,8,1", "fast"}, {"1,0,8,60", "fast"}, {"1,0,8,100", "usual"}, {"1,0,8,150", "slow"}, {"1,0,8,160", "slow"}, {"1,0,8,250", "very-slow"}, {"1,0,8,400", "slowest"}, {"1,0,8,10000", "slowest"}} {
		load, _ := platform.ParseLoad([]byte(test.load))
		require.Equal(t, test.want, paceClasses[paceClass(load)].name, test.load)
	}
}
