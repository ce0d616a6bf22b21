package order

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

// TestAttemptsNeverStartTwiceOrAfterAFence compares the bounded record with an
// unbounded one.
func TestAttemptsNeverStartTwiceOrAfterAFence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAttempts()
		a.limit = 4
		started := make(map[ident.Attempt]bool)
		fenced := make(map[ident.Attempt]bool)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := ident.Attempt(fmt.Sprintf("%02d", rapid.IntRange(0, 12).Draw(t, "id")))
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0:
				a.Enqueue(id)
			case 1:
				if a.Start(id) {
					require.False(t, started[id], "started twice")
					require.False(t, fenced[id], "started after a fence")
					started[id] = true
				}
			case 2:
				reply := a.Query(id)
				if reply.State == wire.AttemptFenced {
					require.False(t, started[id], "reported as never started")
					fenced[id] = true
				}
			case 3:
				a.Complete(id, wire.StoredAnswer{Status: 200})
			case 4:
				a.Fail(id)
			}
			require.LessOrEqual(t, a.Len(), 4)
		}
	})
}

func TestLaterFencingTokenSupersedes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		objects := standin.NewObjects(1)
		objects.SetFaults(standin.ObjectFaults{LoseResponses: 0.5})
		first, second := NewFence(objects.Client(), "t"), NewFence(objects.Client(), "t")
		n, err := first.Acquire(ctx)
		require.NoError(t, err)
		objects.SetFaults(standin.ObjectFaults{})
		_, err = first.Check(ctx)
		require.NoError(t, err)
		m, err := second.Acquire(ctx)
		require.NoError(t, err)
		require.Greater(t, m, n)
		// The first holder's check stays valid for CheckValidity. After that the
		// fence stays superseded.
		time.Sleep(CheckValidity)
		_, err = first.Check(ctx)
		require.ErrorIs(t, err, ErrSuperseded)
		objects.SetFaults(standin.ObjectFaults{Outage: true})
		_, err = first.Check(ctx)
		require.ErrorIs(t, err, ErrSuperseded)
	})
}

func TestFenceUsesHomeEntriesDuringAnOutage(t *testing.T) {
	scenarios := []struct {
		name      string
		highest   ident.Incarnation
		confirmed bool
		permitted bool
	}{
		{"no entry confirms", 0, false, false},
		{"own number is the highest", 1, true, true},
		{"a later incarnation is known", 2, true, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				objects := standin.NewObjects(1)
				f := NewFence(objects.Client(), "t")
				_, err := f.Acquire(context.Background())
				require.NoError(t, err)
				f.Highest = func() (ident.Incarnation, bool) { return s.highest, s.confirmed }
				objects.SetFaults(standin.ObjectFaults{Outage: true})
				_, err = f.Check(context.Background())
				require.Equal(t, s.permitted, err == nil)
			})
		})
	}
}
