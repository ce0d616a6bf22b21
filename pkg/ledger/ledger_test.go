package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

func newKey() string { return standin.NewKey(time.Now()) }

func claim(key string, attempt string) wire.Claim {
	return wire.Claim{Key: key, Caller: "c", Attempt: ident.Attempt(attempt), Target: "t"}
}

// step is one random step of a test with two ledgers that share an object API.
type step struct{ op, owner, key, attempt int }

func drawSteps(r *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		small := rapid.IntRange(0, 5)
		return step{small.Draw(t, "op"), small.Draw(t, "owner") % 2, small.Draw(t, "key") % 3, small.Draw(t, "attempt")}
	}), 1, 60).Draw(r, "steps")
}

// TestGrantsKeyToOneAttempt guards against granting a key twice. Two owners claim
// and release keys while the object API loses replies, drops updates and fails.
// No other attempt may be granted a key until its holder releases it.
func TestGrantsKeyToOneAttempt(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		if violation := runSteps(t, drawSteps(r)); violation != "" {
			r.Fatal(violation)
		}
	})
}

func runSteps(t *testing.T, steps []step) (violation string) {
	synctest.Test(t, func(t *testing.T) {
		objects := standin.NewObjects(1)
		owners := []*Ledger{New(objects.Client(), Settings{WritesPerSecond: 1000}), New(objects.Client(), Settings{WritesPerSecond: 1000})}
		keys := []string{newKey(), newKey(), newKey()}
		holder := make(map[string]string)
		for i, s := range steps {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			key, attempt := keys[s.key], fmt.Sprintf("%d-%d", i, s.attempt)
			switch s.op {
			case 0, 1, 2:
				reply := owners[s.owner].Claim(ctx, claim(key, attempt))
				if reply.State == wire.ClaimGranted {
					if held := holder[key]; held != "" {
						violation = fmt.Sprintf("key granted to %s while %s holds it", attempt, held)
					}
					holder[key] = attempt
				}
			case 3:
				// A release may take effect even if its reply is lost.
				if held := holder[key]; held != "" {
					owners[s.owner].Settle(ctx, "c", wire.Settle{Key: key, Attempt: ident.Attempt(held), Release: true})
					holder[key] = ""
				}
			case 4:
				objects.SetFaults(standin.ObjectFaults{LoseResponses: float64(s.attempt) / 6, DropUpdates: float64(s.key) / 6})
			case 5:
				objects.SetFaults(standin.ObjectFaults{Outage: s.attempt < 2})
			}
			cancel()
		}
		time.Sleep(time.Minute)
	})
	return violation
}

func TestClaimStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		l := New(standin.NewObjects(1).Client(), Settings{})
		key := newKey()
		require.Equal(t, wire.ClaimFree, l.Claim(ctx, wire.Claim{Key: key, Caller: "c", Peek: true}).State)
		require.Equal(t, wire.ClaimGranted, l.Claim(ctx, claim(key, "a")).State)
		require.Equal(t, wire.ClaimGranted, l.Claim(ctx, claim(key, "a")).State, "a repeated claim of the same attempt")
		require.Equal(t, wire.ClaimHeld, l.Claim(ctx, claim(key, "b")).State)
		replacing := claim(key, "b")
		replacing.Replaces = "a"
		require.Equal(t, wire.ClaimGranted, l.Claim(ctx, replacing).State)
		require.False(t, l.Settle(ctx, "c", wire.Settle{Key: key, Attempt: "a", Release: true}), "a lost its claim")
		require.True(t, l.Settle(ctx, "c", wire.Settle{Key: key, Attempt: "b", Answer: wire.StoredAnswer{Status: 201}}))
		done := l.Claim(ctx, claim(key, "d"))
		require.Equal(t, wire.ClaimDone, done.State)
		require.Equal(t, 201, done.Holder.Answer.Status)
		other := claim(key, "e")
		other.Caller = "somebody else"
		require.Equal(t, wire.ClaimGranted, l.Claim(ctx, other).State, "keys belong to their callers")
		require.Equal(t, wire.ClaimRefused, l.Claim(ctx, claim("not-a-uuid", "f")).State)
		time.Sleep(time.Minute)
	})
}

func TestOldKeysStayExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		objects := standin.NewObjects(1)
		settings := Settings{Partitions: 1, Window: time.Hour}
		l := New(objects.Client(), settings)
		seen, unseen := newKey(), newKey()
		require.Equal(t, wire.ClaimGranted, l.Claim(ctx, claim(seen, "a")).State)
		// An owner that pauses here must not create the bucket again later.
		stale := New(objects.Client(), settings)
		require.Equal(t, wire.ClaimHeld, stale.Claim(ctx, claim(seen, "b")).State)
		time.Sleep(61 * time.Minute)
		require.Equal(t, wire.ClaimHeld, l.Claim(ctx, claim(seen, "c")).State)
		require.Equal(t, wire.ClaimExpired, l.Claim(ctx, claim(unseen, "c")).State)
		time.Sleep(61 * time.Minute)
		require.NoError(t, l.Sweep(ctx, 0))
		require.Equal(t, wire.ClaimExpired, New(objects.Client(), settings).Claim(ctx, claim(seen, "d")).State)
		require.Equal(t, wire.ClaimExpired, stale.Claim(ctx, claim(unseen, "e")).State)
		time.Sleep(25 * time.Hour)
		require.NoError(t, l.Sweep(ctx, 0))
		keys, err := objects.List(ctx, "ledger/")
		require.NoError(t, err)
		require.Empty(t, keys)
		require.Equal(t, wire.ClaimExpired, l.Claim(ctx, claim(seen, "f")).State)
	})
}

func TestRefusesClaimDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := standin.NewObjects(1)
		objects.SetFaults(standin.ObjectFaults{Outage: true})
		l := New(objects.Client(), Settings{})
		start := time.Now()
		reply := l.Claim(context.Background(), claim(newKey(), "a"))
		require.Equal(t, wire.ClaimRefused, reply.State)
		require.LessOrEqual(t, time.Since(start), 3*time.Second)
		time.Sleep(time.Minute)
	})
}

// TestThroughput checks that the ledger keeps its limit on writes at several claim
// rates, and logs its latency and writes. The object API takes 5 ms per call.
func TestThroughput(t *testing.T) {
	for _, rate := range []int{1, 10, 100, 1000} {
		synctest.Test(t, func(t *testing.T) {
			objects := standin.NewObjects(1)
			objects.SetFaults(standin.ObjectFaults{DelayMS: 5})
			l := New(objects.Client(), Settings{WritesPerSecond: 300})
			const seconds = 20
			var wg sync.WaitGroup
			var mu sync.Mutex
			total, worst := time.Duration(0), time.Duration(0)
			for range rate * seconds {
				wg.Go(func() {
					start := time.Now()
					state := l.Claim(context.Background(), claim(newKey(), newKey())).State
					took := time.Since(start)
					require.Equal(t, wire.ClaimGranted, state)
					mu.Lock()
					defer mu.Unlock()
					total += took
					worst = max(worst, took)
				})
				time.Sleep(time.Second / time.Duration(rate))
			}
			wg.Wait()
			claims := float64(rate * seconds)
			writes := float64(l.Writes())
			require.LessOrEqual(t, writes/seconds, 301.0)
			t.Logf("%d claims/s: mean %.1f ms, worst %.1f ms, %.2f writes a claim, %.0f writes/s, %.1f KB/s written", rate,
				total.Seconds()*1000/claims, worst.Seconds()*1000, writes/claims, writes/seconds, float64(objects.Calls().Bytes)/1000/seconds)
			time.Sleep(time.Minute)
		})
	}
}
