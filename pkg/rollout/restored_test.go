package rollout

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
)

// appendAll appends one command a second. After each of them all logs know it.
func appendAll(t *testing.T, commands int, logs ...*Log) {
	for i := range commands {
		_, err := logs[0].Append(t.Context(), proposal(fmt.Sprint(i), fmt.Sprintf("m%d", i), 0))
		require.NoError(t, err)
		for _, l := range logs[1:] {
			l.Replace(logs[0].catalog.Export())
		}
		time.Sleep(time.Second)
	}
}

// TestConfigurationThatTheStoreHasLostIsWrittenAgain guards against a configuration that
// reverts at processes that start after a return of the store from an older copy, and against
// a log that takes no more commands.
func TestConfigurationThatTheStoreHasLostIsWrittenAgain(t *testing.T) {
	scenarios := []struct {
		name   string
		lost   int // commands, of ten
		follow int // log that watches, of two; the second knows no single records
	}{
		{"nothing", 0, 0}, {"the last command", 1, 0}, {"some commands", 4, 0}, {"all commands", 10, 0},
		{"some commands, known as a whole", 4, 1}, {"all commands, known as a whole", 10, 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.NewObjects(1)
				logs := []*Log{newLog(store), newLog(store)}
				appendAll(t, 10, logs...)
				store.Restore(time.Duration(s.lost)*time.Second + time.Millisecond)
				require.NoError(t, logs[s.follow].Follow(t.Context(), time.Second))

				started := newLog(store)
				require.NoError(t, started.Refresh(t.Context()))
				require.Equal(t, ident.Revision(10), started.Catalog().Revision())
				for _, l := range append(logs, started) {
					record, err := l.Append(t.Context(), proposal("last", "last", 0))
					require.NoError(t, err)
					require.Equal(t, ident.Revision(11), record.Revision, "the same command each time")
				}
			})
		})
	}
}

// TestCommandsContinueTheConfigurationThatTheStoreHasLost guards against two configurations
// with the same revision: one that processes use, and one that was accepted by a process that
// started after the return.
func TestCommandsContinueTheConfigurationThatTheStoreHasLost(t *testing.T) {
	scenarios := []struct {
		name  string
		known bool // a running process knows what the store has lost
		want  ident.Revision
	}{{"known elsewhere", true, 11}, {"known nowhere", false, 7}}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.NewObjects(1)
				running := newLog(store)
				appendAll(t, 10, running)
				store.Restore(4*time.Second + time.Millisecond)
				if s.known {
					go func() {
						time.Sleep(2 * time.Second)
						_ = running.Follow(t.Context(), time.Second)
					}()
				}
				started := newLog(store)
				require.NoError(t, started.Refresh(t.Context()))
				ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
				defer cancel()
				record, err := started.Append(ctx, proposal("last", "last", 0))
				require.NoError(t, err)
				require.Equal(t, s.want, record.Revision)
			})
		})
	}
}
