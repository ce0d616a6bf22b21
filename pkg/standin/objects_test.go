package standin

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/fasthttp/router"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/objects"
	"github.com/hyssoproad/hyssoproad/platform"
)

// serveObjects serves an object store on the loopback interface and returns it
// with two clients.
func serveObjects(t *testing.T) (*Objects, *platform.Store, objects.Objects) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	o, r := NewObjects(1), router.New()
	o.Register(r)
	server := &fasthttp.Server{Handler: r.Handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { require.NoError(t, listener.Close()) })
	address := listener.Addr().String()
	return o, platform.NewStore(address, platform.DefaultAnswerTime), objects.NewClient("http://" + address).Objects()
}

func TestConditionalWrites(t *testing.T) {
	_, store, _ := serveObjects(t)
	_, err := store.Get("k", "n")
	require.ErrorIs(t, err, platform.ErrNotFound)
	_, err = store.Put("k", "n", []byte(`"YQ=="`), platform.Position{Revision: 7})
	require.ErrorIs(t, err, platform.ErrConflict, "an object that doesn't exist must not be replaced")
	first, err := store.Put("k", "n", []byte(`"YQ=="`), platform.Position{})
	require.NoError(t, err)
	_, err = store.Put("k", "n", []byte(`"Yg=="`), platform.Position{})
	require.ErrorIs(t, err, platform.ErrConflict, "an existing object must not be created again")
	second, err := store.Put("k", "n", []byte(`"Yg=="`), first)
	require.NoError(t, err)
	require.Greater(t, second.Revision, first.Revision)
	require.ErrorIs(t, store.Delete("k", "n", first), platform.ErrConflict)
	require.NoError(t, store.Delete("k", "n", second))
}

func TestWatchReportsChangesAndDiscardedHistory(t *testing.T) {
	o, store, _ := serveObjects(t)
	first, err := store.Put("k", "a", []byte(`"YQ=="`), platform.Position{})
	require.NoError(t, err)
	second, err := store.Put("k", "b", []byte(`"Yg=="`), platform.Position{})
	require.NoError(t, err)
	require.NoError(t, store.Delete("k", "a", first))
	events, next, err := store.Watch("k", first, time.Second)
	require.NoError(t, err)
	require.Len(t, events, 2)
	require.Equal(t, "b", events[0].Object.Name)
	require.Equal(t, "a", events[1].Object.Name)
	require.True(t, events[1].Removed)
	require.Greater(t, next.Revision, second.Revision)
	events, _, err = store.Watch("k", next, time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, events)
	o.DiscardHistory()
	_, _, err = store.Watch("k", first, time.Second)
	require.ErrorIs(t, err, platform.ErrHistoryGone)
}

func TestListPagination(t *testing.T) {
	_, store, client := serveObjects(t)
	const count = maxPageItems + 3
	for i := range count {
		_, err := client.Put(context.Background(), "dir/"+string(rune('a'+i/26/26%26))+string(rune('a'+i/26%26))+string(rune('a'+i%26)), []byte("v"), 0)
		require.NoError(t, err)
	}
	list, revision, err := store.List("dir")
	require.NoError(t, err)
	require.Len(t, list, count)
	require.Equal(t, platform.Position{Era: 1, Revision: count}, revision)
}

// TestGetReturnsWriteAfterLostResponse checks a write whose response is lost: Put
// fails although the write took effect, and Get returns the written value.
func TestGetReturnsWriteAfterLostResponse(t *testing.T) {
	o, _, client := serveObjects(t)
	o.SetFaults(ObjectFaults{LoseResponses: 1})
	_, err := client.Put(context.Background(), "dir/a", []byte("mine"), 0)
	require.ErrorIs(t, err, objects.ErrUnavailable)
	o.SetFaults(ObjectFaults{})
	got, err := client.Get(context.Background(), "dir/a")
	require.NoError(t, err)
	require.Equal(t, "mine", string(got.Value))
	o.SetFaults(ObjectFaults{Outage: true})
	_, err = client.Get(context.Background(), "dir/a")
	require.ErrorIs(t, err, objects.ErrUnavailable)
}

func TestObjectWatch(t *testing.T) {
	_, _, client := serveObjects(t)
	ctx := context.Background()
	first, err := client.Put(ctx, "dir/a", []byte("1"), 0)
	require.NoError(t, err)
	got, err := client.Watch(ctx, "dir/a", 0, time.Second)
	require.NoError(t, err)
	require.Equal(t, "1", string(got.Value))
	_, err = client.Put(ctx, "dir/b", []byte("other"), 0)
	require.NoError(t, err)
	_, err = client.Watch(ctx, "dir/a", first, time.Millisecond)
	require.True(t, errors.Is(err, errors.Timeout), "%v", err)
	second, err := client.Put(ctx, "dir/a", []byte("2"), first)
	require.NoError(t, err)
	got, err = client.Watch(ctx, "dir/a", first, time.Second)
	require.NoError(t, err)
	require.Equal(t, second, got.Version)
	keys, err := client.List(ctx, "dir/")
	require.NoError(t, err)
	require.Equal(t, []string{"dir/a", "dir/b"}, keys)
}

// The store returns from an older copy in which the watched object has a lower revision: a
// watch reports it, since it is another content, and a write under the lost version fails.
func TestVersionsOfALaterEraAreHigher(t *testing.T) {
	o, _, client := serveObjects(t)
	ctx := context.Background()
	first, err := client.Put(ctx, "dir/a", []byte("first"), 0)
	require.NoError(t, err)
	_, err = client.Put(ctx, "dir/b", []byte("other"), 0)
	require.NoError(t, err)
	lost, err := client.Put(ctx, "dir/a", []byte("lost"), first)
	require.NoError(t, err)
	o.RestoreRevision(1)
	object, err := client.Watch(ctx, "dir/a", lost, time.Second)
	require.NoError(t, err)
	require.Equal(t, "first", string(object.Value))
	require.Greater(t, object.Version, lost)
	_, err = client.Put(ctx, "dir/a", []byte("stale"), lost)
	require.ErrorIs(t, err, objects.ErrConflict)
	_, err = client.Put(ctx, "dir/a", []byte("new"), object.Version)
	require.NoError(t, err)
}

// One entry of the list of VMs can't be read: it counts as a VM in an unknown state.
func TestOddVMCostsOnlyItself(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, listener.Close()) })
	odd := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	body := `{"items":[{"metadata":{"name":"vm-1","revision":1},"spec":` + odd + `},{"metadata":{"name":"vm-2","revision":2},"spec":{"vm":"vm-2","state":"live"}}],"as-of":2}`
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(body) }}
	go func() { _ = server.Serve(listener) }()
	vms, err := objects.NewClient("http://" + listener.Addr().String()).VMs(context.Background())
	require.NoError(t, err)
	require.Equal(t, []objects.VMInfo{{VM: "vm-1"}, {VM: "vm-2", State: objects.VMLive}}, vms)
}
