package node

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/kernel"
	"github.com/hyssoproad/hyssoproad/platform"
)

const validSettings = `{"node-name": "vm-1", "ip": "127.0.0.1", "inner-ports": [7380, 7395], "platform": {"address": "127.0.0.1:1"}}`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func acceptAny(platform.Node) error { return nil }

func TestReportsInvalidSettings(t *testing.T) {
	for _, tt := range []struct{ name, text, want string }{
		{"no JSON", "{", "unexpected end of JSON"},
		{"wrong type", `{"node-name": 7}`, "node-name"},
		{"no name", `{"ip": "127.0.0.1"}`, "node-name: empty name"},
		{"no address", `{"node-name": "vm-1", "ip": "nowhere"}`, `ip: "nowhere"`},
		{"no port", `{"node-name": "vm-1", "ip": "127.0.0.1"}`, "inner-ports"},
		{"bad address", `{"node-name": "vm-1", "ip": "127.0.0.1", "inner-ports": [1], "app": "x"}`, `app: "x"`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			code := Program{Name: "program", Check: acceptAny}.Main([]string{"-settings", writeSettings(t, tt.text)}, &out, &out)
			require.Equal(t, ExitSettings, code)
			require.Contains(t, out.String(), tt.want)
		})
	}
}

// Guards against a SIGHUP that kills the process while it is stopping, before
// its requests have finished.
func TestIgnoresSIGHUPWhileStopping(t *testing.T) {
	stopped := make(chan struct{})
	closeStopped := sync.OnceFunc(func() { close(stopped) }) // the plugin also runs in the next test
	kernel.Register(kernel.Plugin{Name: "slow", Start: func(life *kernel.Lifecycle) {
		life.Append(kernel.Hook{
			Name: "slow",
			Start: func(context.Context) error {
				return syscall.Kill(os.Getpid(), syscall.SIGTERM)
			},
			Stop: func(context.Context) error {
				defer closeStopped()
				for range 20 {
					if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
						return err
					}
					time.Sleep(time.Millisecond)
				}
				return nil
			},
		})
	}})
	var out bytes.Buffer
	require.Equal(t, ExitOK, Program{Name: "program", Check: acceptAny}.Main([]string{"-settings", writeSettings(t, validSettings)}, &out, &out))
	<-stopped
}

// Guards against LOST: the metrics listener stopped first and waited up to 5 s for a
// connection that had sent nothing, and only then the stop of the callers began.
func TestMetricsAreServedUntilTheEnd(t *testing.T) {
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(metricsPort))
	status := 0
	kernel.Register(kernel.Plugin{Name: "callers", Start: func(life *kernel.Lifecycle) {
		var silent net.Conn
		life.Append(kernel.Hook{
			Name: "callers", Faces: true,
			Start: func(context.Context) (err error) {
				if silent, err = net.Dial("tcp4", address); err != nil {
					return err
				}
				return syscall.Kill(os.Getpid(), syscall.SIGTERM)
			},
			Stop: func(context.Context) error {
				defer silent.Close()
				res, err := http.Get("http://" + address + metricsPath)
				if err == nil {
					status = res.StatusCode
					err = res.Body.Close()
				}
				return err
			},
		})
	}})
	require.Equal(t, ExitOK, Program{Name: "program", Check: acceptAny}.Main([]string{"-settings", writeSettings(t, validSettings)}, io.Discard, io.Discard)) // a SIGHUP may be logged after its return
	require.Equal(t, http.StatusOK, status)
}
