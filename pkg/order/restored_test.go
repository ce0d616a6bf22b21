package order

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/standin"
)

// TestFencingTokensRiseThoughTheStoreLosesThem guards against two agents of a target with the
// same token, or an agent whose token is below that of its predecessor.
func TestFencingTokensRiseThoughTheStoreLosesThem(t *testing.T) {
	scenarios := []struct {
		name string
		lost int // tokens that the store loses, of three
	}{{"none", 0}, {"the newest", 1}, {"two", 2}, {"all", 3}}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				objects := standin.NewObjects(1)
				before := []*Fence{}
				for range 3 {
					f := NewFence(objects.Client(), "t")
					_, err := f.Acquire(t.Context())
					require.NoError(t, err)
					before = append(before, f)
					time.Sleep(time.Second)
				}
				objects.Restore(time.Duration(s.lost)*time.Second + time.Millisecond)
				after := NewFence(objects.Client(), "t")
				token, err := after.Acquire(t.Context())
				require.NoError(t, err)
				for _, f := range before {
					require.Greater(t, token, f.Number())
					time.Sleep(CheckValidity)
					_, err := f.Check(t.Context())
					require.ErrorIs(t, err, ErrSuperseded)
				}
			})
		})
	}
}

// TestNewestTokenSupersedesThoughTheStoreHasLostIt guards against a former agent that goes on
// because the store has lost its successor's token.
func TestNewestTokenSupersedesThoughTheStoreHasLostIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := standin.NewObjects(1)
		former, newest := NewFence(objects.Client(), "t"), NewFence(objects.Client(), "t")
		_, err := former.Acquire(t.Context())
		require.NoError(t, err)
		time.Sleep(time.Second)
		_, err = newest.Acquire(t.Context())
		require.NoError(t, err)
		objects.Restore(500 * time.Millisecond)
		for range 3 {
			time.Sleep(CheckValidity)
			_, err = newest.Check(t.Context())
			require.NoError(t, err)
		}
		_, err = former.Check(t.Context())
		require.ErrorIs(t, err, ErrSuperseded)
	})
}
