package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/follow"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/platform"
)

// testRestored runs a gateway that follows a stand-in of the store.
func testRestored(t *testing.T, f func(t *testing.T, g *Gateway, store *standin.Objects)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g, store := testGateway(), standin.NewObjects(1)
		g.node.Bounds.Draining, g.node.Bounds.Configuration, g.node.Bounds.Version = 2*time.Second, 2*time.Second, 5*time.Second
		g.node.Bounds.Settled, g.node.TargetHeartbeat = 3*time.Second, 1200*time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Minute)
		defer cancel()
		for _, follower := range g.followers(follow.Source{List: store.ListKind, Watch: store.WatchKind}) {
			go follower.Run(ctx)
		}
		go g.maintain(ctx)
		f(t, g, store)
	})
}

// publishTarget writes the record of a plain target, of the process that started at the
// given time, with the number of its heartbeat.
func publishTarget(t *testing.T, store *standin.Objects, name, state string, startMS, heartbeat int) {
	t.Helper()
	spec := fmt.Sprintf(`{"service":"plain","address":"10.0.1.%s:1","state":%q,"born":%d,"seq":%d}`, name[2:], state, startMS, heartbeat)
	require.NoError(t, store.Publish(platform.KindTargets, name, json.RawMessage(spec)))
}

func availableNames(g *Gateway) []string {
	names := []string{}
	for _, target := range g.fleet.Available(plainService) {
		names = append(names, string(target.Instance))
	}
	return names
}

// Targets leave, and the store returns from a copy in which they have not: a gateway that
// knew it sends them nothing, also after they have written again what the copy lacks.
func TestTargetsThatLeftStayAwayInAnOlderCopy(t *testing.T) {
	testRestored(t, func(t *testing.T, g *Gateway, store *standin.Objects) {
		for _, name := range []string{"p-1", "p-2", "p-3", "p-4"} {
			publishTarget(t, store, name, "ready", 1000, 5)
		}
		time.Sleep(5 * time.Second)
		require.Len(t, availableNames(g), 4)
		publishTarget(t, store, "p-1", "draining", 1000, 9) // and says so again after the loss
		publishTarget(t, store, "p-2", "draining", 1000, 9) // and is gone by then
		store.Withdraw(platform.KindTargets, "p-3")         // never says that it leaves
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"p-4"}, availableNames(g))
		store.Restore(3 * time.Second)
		for i := range 40 {
			if i == 8 {
				publishTarget(t, store, "p-1", "draining", 1000, 11)
			}
			if i == 30 {
				store.Withdraw(platform.KindTargets, "p-2")
				store.Withdraw(platform.KindTargets, "p-3")
			}
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, []string{"p-4"}, availableNames(g), "%d00 ms after the loss", i)
		}
		publishTarget(t, store, "p-3", "ready", 2000, 1) // a new process under the old name
		time.Sleep(3 * time.Second)
		require.Equal(t, []string{"p-3", "p-4"}, availableNames(g))
	})
}

// A target has registered just before the store loses that: it goes on being used until
// it has registered again.
func TestTargetsThatAnOlderCopyLacksAreKept(t *testing.T) {
	testRestored(t, func(t *testing.T, g *Gateway, store *standin.Objects) {
		publishTarget(t, store, "p-1", "ready", 1000, 5)
		time.Sleep(4 * time.Second)
		publishTarget(t, store, "p-2", "ready", 2000, 1)
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, []string{"p-1", "p-2"}, availableNames(g))
		store.Restore(3 * time.Second)
		for i := range 30 {
			if i == 15 {
				publishTarget(t, store, "p-2", "ready", 2000, 3)
			}
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, []string{"p-1", "p-2"}, availableNames(g), "%d00 ms after the loss", i)
		}
		store.Withdraw(platform.KindTargets, "p-2")
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"p-1"}, availableNames(g))
	})
}

// Another writer replaces the record of a target, and adds one of its own: the others
// stay in use, and the target is back with its next record.
func TestOddRecordCostsOnlyItsTarget(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for _, odd := range []string{deep, `{"service":"plain","address":"10.0.1.2:0","state":"ready"}`, `{"service":"plain","address":"10.0.1.2:99999999999","state":"ready"}`, `{"service":"plain","address":"10.0.1.2:1","state":"ready","slots":1e999}`} {
		testRestored(t, func(t *testing.T, g *Gateway, store *standin.Objects) {
			for _, name := range []string{"p-1", "p-2", "p-3"} {
				publishTarget(t, store, name, "ready", 1000, 5)
			}
			time.Sleep(5 * time.Second)
			require.NoError(t, store.Publish(platform.KindTargets, "p-2", json.RawMessage(odd)))
			require.NoError(t, store.Publish(platform.KindTargets, "odd", json.RawMessage(odd)))
			require.NoError(t, store.Publish(platform.KindVersions, "odd", json.RawMessage(odd)))
			require.NoError(t, store.Publish(platform.KindConfiguration, platform.ConfigurationName, json.RawMessage(odd)))
			time.Sleep(4 * time.Second)
			require.Equal(t, []string{"p-1", "p-3"}, availableNames(g))
			require.NotNil(t, g.directory.Configuration())
			publishTarget(t, store, "p-4", "ready", 1000, 1)
			publishTarget(t, store, "p-2", "ready", 1000, 9)
			time.Sleep(4 * time.Second)
			require.Equal(t, []string{"p-1", "p-2", "p-3", "p-4"}, availableNames(g))
		})
	}
}
