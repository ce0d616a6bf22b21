package app

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/kernel"
	"github.com/hyssoproad/hyssoproad/pkg/settings"
)

// Guards against a SIGHUP that kills an entry or an agent at once, with all its requests.
func TestIgnoresSIGHUP(t *testing.T) {
	stopped := false
	kernel.Register(kernel.Plugin{Name: "slow", Start: func(life *kernel.Lifecycle) {
		life.Append(kernel.Hook{
			Name: "slow",
			Start: func(context.Context) error {
				for range 20 {
					if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
						return err
					}
					time.Sleep(time.Millisecond)
				}
				return syscall.Kill(os.Getpid(), syscall.SIGTERM)
			},
			Stop: func(context.Context) error {
				stopped = true
				return syscall.Kill(os.Getpid(), syscall.SIGHUP)
			},
		})
	}})
	s := settings.DefaultEntry()
	file := filepath.Join(t.TempDir(), "entry.hujson")
	require.NoError(t, os.WriteFile(file, []byte(`{}`), 0o600))
	s.Status = "127.0.0.1:0"
	d := Daemon{Name: "daemon", Settings: &struct{}{}, Process: func() settings.Process { return s.Process }}
	require.Equal(t, ExitOK, d.Main([]string{"-settings", file}, io.Discard)) // a SIGHUP may be logged after its return
	require.True(t, stopped)
}
