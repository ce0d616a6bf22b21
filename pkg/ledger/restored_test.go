package ledger

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// TestClaimsThatTheStoreHasLostHold guards against a key that is granted twice because the
// store has returned from a copy without its first claim.
func TestClaimsThatTheStoreHasLostHold(t *testing.T) {
	scenarios := []struct {
		name string
		// wait is the time from the return until another process claims the key.
		wait time.Duration
		// before are claims of the same bucket that the copy has.
		before int
		known  bool // the other process has read the bucket before
		done   bool
	}{
		{name: "at once", known: true},
		{name: "at once, in a bucket that the copy has", before: 1, known: true},
		{name: "a while later, by a process that knows nothing", wait: 2 * HistoryPeriod},
		{name: "later, by a process that knows nothing, in a bucket that the copy has", wait: 2 * HistoryPeriod, before: 3},
		{name: "after the recovery", wait: 2 * recoveryTime, known: true},
		{name: "done", wait: 2 * HistoryPeriod, done: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				objects := standin.NewObjects(1)
				first, second := newProcess(ctx, objects), newProcess(ctx, objects)
				for range s.before {
					require.Equal(t, wire.ClaimGranted, first.Claim(ctx, claim(newKey(), newKey())).State)
				}
				time.Sleep(time.Second)
				key := newKey()
				if s.known {
					peek := claim(key, "")
					peek.Peek = true
					require.Equal(t, wire.ClaimFree, second.Claim(ctx, peek).State)
				}
				require.Equal(t, wire.ClaimGranted, first.Claim(ctx, claim(key, "a")).State)
				if s.done {
					require.True(t, first.Settle(ctx, "c", wire.Settle{Key: key, Attempt: "a", Answer: wire.StoredAnswer{Status: 201}}))
				}
				objects.Restore(500 * time.Millisecond)
				time.Sleep(s.wait)
				reply := second.Claim(ctx, claim(key, "b"))
				require.NotEqual(t, wire.ClaimGranted, reply.State)
				if s.done {
					require.Equal(t, wire.ClaimDone, reply.State)
					require.Equal(t, 201, reply.Holder.Answer.Status)
				}
				time.Sleep(time.Second)
				require.Equal(t, wire.ClaimGranted, second.Claim(ctx, claim(newKey(), "c")).State, "a key from after the return")
			})
		})
	}
}

// newProcess returns a ledger, calls CheckHistory as a process does, and calls the store as
// its other parts do.
func newProcess(ctx context.Context, o *standin.Objects) *Ledger {
	client := o.Client()
	l := New(client, Settings{Partitions: 1})
	go func() {
		for ctx.Err() == nil {
			_, _ = client.List(ctx, "vms/")
			l.CheckHistory()
			select {
			case <-time.After(HistoryPeriod):
			case <-ctx.Done():
			}
		}
	}()
	return l
}

// TestGrantsKeyToOneAttemptInEachHistory is TestGrantsKeyToOneAttempt with returns of the
// store from older copies in place of its other faults.
func TestGrantsKeyToOneAttemptInEachHistory(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		if violation := runHistories(t, drawSteps(r)); violation != "" {
			r.Fatal(violation)
		}
	})
}

func runHistories(t *testing.T, steps []step) (violation string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		objects := standin.NewObjects(1)
		owners := []*Ledger{newProcess(ctx, objects), newProcess(ctx, objects)}
		synctest.Wait()
		keys := []string{newKey(), newKey(), newKey()}
		holder := make(map[string]string)
		for i, s := range steps {
			time.Sleep(time.Duration(s.attempt*s.attempt) * 300 * time.Millisecond)
			key, attempt := keys[s.key], fmt.Sprint(i)
			switch s.op {
			case 0, 1, 2:
				if owners[s.owner].Claim(ctx, claim(key, attempt)).State == wire.ClaimGranted {
					if held := holder[key]; held != "" {
						violation = fmt.Sprintf("key granted to %s while %s holds it", attempt, held)
					}
					holder[key] = attempt
				}
			case 3:
				if held := holder[key]; held != "" {
					owners[s.owner].Settle(ctx, "c", wire.Settle{Key: key, Attempt: ident.Attempt(held), Release: true})
					holder[key] = ""
				}
			default:
				objects.Restore(time.Duration(s.key) * 2 * time.Second)
			}
		}
		cancel()
		time.Sleep(time.Minute)
	})
	return violation
}
