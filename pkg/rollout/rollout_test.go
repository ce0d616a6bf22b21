package rollout

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/catalog"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/objects"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

func newLog(o *standin.Objects) *Log { return New(o.Client(), catalog.New()) }

func modelChange(name string) wire.Change {
	return wire.Change{Model: &wire.Model{Name: ident.Model(name)}}
}

func proposal(id, model string, base ident.Revision) Proposal {
	return Proposal{Command: ident.Command(id), Operator: "op-" + id, Base: base, Changes: []wire.Change{modelChange(model)}}
}

func TestAcceptsCommandOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		objects := standin.NewObjects(3)
		log := newLog(objects)
		objects.SetFaults(standin.ObjectFaults{LoseResponses: 0.6, DropUpdates: 0.2})
		seen := make(map[ident.Revision]bool)
		for i := range 30 {
			r, err := log.Append(ctx, proposal(fmt.Sprint(i), fmt.Sprintf("m%d", i), 0))
			require.NoError(t, err)
			require.False(t, seen[r.Revision], "two commands at one revision")
			seen[r.Revision] = true
			again, err := log.Append(ctx, proposal(fmt.Sprint(i), fmt.Sprintf("m%d", i), 0))
			require.NoError(t, err)
			require.Equal(t, r.Revision, again.Revision)
		}
		objects.SetFaults(standin.ObjectFaults{})
		other := newLog(objects)
		require.NoError(t, other.Refresh(ctx))
		require.Equal(t, ident.Revision(30), other.Catalog().Revision())
	})
}

func TestRefusesConflictingCommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		objects := standin.NewObjects(1)
		a, b := newLog(objects), newLog(objects)
		first, err := a.Append(ctx, proposal("1", "m", 0))
		require.NoError(t, err)
		require.NoError(t, b.Refresh(ctx))
		_, err = a.Append(ctx, proposal("2", "m", first.Revision))
		require.NoError(t, err)
		_, err = b.Append(ctx, proposal("3", "m", first.Revision))
		var conflict *ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, "op-2", conflict.Winner.Operator)
		_, err = b.Append(ctx, proposal("4", "other", first.Revision))
		require.NoError(t, err, "another object is no conflict")
	})
}

func TestUnsettledCommandCanBeRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewObjects(1)
		log := newLog(store)
		client := store.Client()
		log.objects.Put = func(ctx context.Context, key string, value []byte, v objects.ObjectVersion) (objects.ObjectVersion, error) {
			_, _ = client.Put(ctx, key, value, v)
			store.SetFaults(standin.ObjectFaults{Outage: true})
			return 0, objects.ErrUnavailable
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := log.Append(ctx, proposal("1", "m", 0))
		require.ErrorIs(t, err, ErrUnsettled)
		store.SetFaults(standin.ObjectFaults{})
		r, err := log.Append(context.Background(), proposal("1", "m", 0))
		require.NoError(t, err)
		require.Equal(t, ident.Revision(1), r.Revision)
	})
}

func TestInvalidCommandsHaveNoEffect(t *testing.T) {
	scenarios := []struct {
		name   string
		change wire.Change
	}{
		{"undeclared model", wire.Change{Service: &wire.Service{Name: "s", Kind: wire.KindEngine, Role: "r", Model: "none"}}},
		{"balance out of range", wire.Change{Service: &wire.Service{Name: "s", Kind: wire.KindService, Role: "r", Balance: 2}}},
		{"undeclared service", wire.Change{Adapter: &wire.Adapter{Name: "a", Service: "none"}}},
		{"bad name", modelChange("a b")},
		{"empty change", wire.Change{}},
		{"deletion of an undeclared model", wire.Change{Delete: &wire.ObjectRef{Kind: wire.ObjectModel, Name: "m"}}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			log := newLog(standin.NewObjects(1))
			_, err := log.Append(context.Background(), Proposal{Command: "1", Operator: "o", Changes: []wire.Change{s.change}})
			require.True(t, errors.Is(err, errors.NotValid) || errors.Is(err, errors.NotFound), "%v", err)
			require.Zero(t, log.Catalog().Revision())
		})
	}
}

// TestCompactsLargeConfiguration appends the number of adapters that the system
// is designed for, and then starts a process without any configuration.
func TestCompactsLargeConfiguration(t *testing.T) {
	const adapters, batch = 44000, 500
	ctx := context.Background()
	objects := standin.NewObjects(1)
	log := newLog(objects)
	_, err := log.Append(ctx, Proposal{Command: "base", Operator: "o", Changes: []wire.Change{
		modelChange("m"), {Service: &wire.Service{Name: "s", Kind: wire.KindEngine, Role: "r", Model: "m"}},
	}})
	require.NoError(t, err)
	for i := 0; i < adapters; i += batch {
		changes := make([]wire.Change, batch)
		for j := range changes {
			name := fmt.Sprintf("adapter-%05d", i+j)
			changes[j].Adapter = &wire.Adapter{Name: ident.Adapter(name), Service: "s", Default: 1,
				Versions: []wire.AdapterVersion{{Number: 1, Weights: name + "/1"}}}
		}
		_, err := log.Append(ctx, Proposal{Command: ident.Command(fmt.Sprint(i)), Operator: "o", Changes: changes})
		require.NoError(t, err)
	}
	fresh := newLog(objects)
	require.NoError(t, fresh.Refresh(ctx))
	require.Equal(t, log.Catalog().Revision(), fresh.Catalog().Revision())
	require.Len(t, fresh.Catalog().Adapters(), adapters)
	keys, err := objects.List(ctx, "config/snapshot/")
	require.NoError(t, err)
	require.Less(t, len(keys), 24, "old snapshots are dropped")
	r, err := log.Append(ctx, Proposal{Command: "base", Operator: "o", Changes: []wire.Change{modelChange("m")}})
	require.NoError(t, err, "a compacted command is still known")
	require.Equal(t, ident.Revision(1), r.Revision)
}

func TestLateDeltasChangeNothing(t *testing.T) {
	ctx := context.Background()
	log := newLog(standin.NewObjects(1))
	for i := range 20 {
		_, err := log.Append(ctx, proposal(fmt.Sprint(i), fmt.Sprintf("m%d", i), 0))
		require.NoError(t, err)
	}
	for after := range 21 {
		other := newLog(standin.NewObjects(1))
		applyPages(other, log.Delta(0, true))
		require.Equal(t, ident.Revision(20), other.Catalog().Revision())
		late := log.Delta(ident.Revision(after), false)
		applyPages(other, late)
		require.Equal(t, ident.Revision(20), other.Catalog().Revision(), "late pages change nothing")
	}
}

func applyPages(l *Log, pages []wire.ConfigDelta) {
	r := NewDeltaReceiver(l)
	for _, p := range pages {
		r.Add(p)
	}
}
