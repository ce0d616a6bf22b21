package standin

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/objects"
	"github.com/hyssoproad/hyssoproad/platform"
)

// Client returns the object API as objects.Client provides it, without a connection.
func (o *Objects) Client() objects.Objects {
	c := &directClient{Objects: o}
	return objects.Objects{Get: c.get, Put: c.put, Delete: c.remove, List: c.list, Watch: c.watch, Era: c.era}
}

// directClient adds the era to the versions of objects.
type directClient struct {
	*Objects

	seenMu sync.Mutex
	seen   platform.Era // newest one that a call has shown
}

func (c *directClient) era() platform.Era {
	c.seenMu.Lock()
	defer c.seenMu.Unlock()
	return c.seen
}

func (c *directClient) see(era platform.Era) {
	c.seenMu.Lock()
	defer c.seenMu.Unlock()
	c.seen = max(c.seen, era)
}

// inEra calls f with the era. A call during which the store returns from a copy fails.
func (c *directClient) inEra(f func(platform.Era) error) error {
	began := c.currentEra()
	err := f(began)
	ended := c.currentEra()
	c.see(ended)
	if ended != began {
		return errors.Annotate(objects.ErrUnavailable, "the store has returned from a copy")
	}
	return err
}

func versionIn(era platform.Era, revision objects.ObjectVersion) objects.ObjectVersion {
	return objects.VersionOf(platform.Position{Era: era, Revision: platform.Revision(revision)})
}

// revisionIn returns the revision of an object at a version, or ErrConflict if the version
// is of another era.
func revisionIn(era platform.Era, version objects.ObjectVersion) (objects.ObjectVersion, error) {
	if at := version.Position(); version == 0 || at.Era == era {
		return objects.ObjectVersion(at.Revision), nil
	}
	return 0, errors.Annotate(objects.ErrConflict, "the expected version is of a lost history")
}

func (c *directClient) get(ctx context.Context, key string) (object objects.Object, err error) {
	err = c.inEra(func(era platform.Era) (err error) {
		object, err = c.Get(ctx, key)
		object.Version = versionIn(era, object.Version)
		return err
	})
	if err != nil {
		return objects.Object{}, err
	}
	return object, nil
}

func (c *directClient) put(ctx context.Context, key string, value []byte, version objects.ObjectVersion) (written objects.ObjectVersion, err error) {
	err = c.inEra(func(era platform.Era) error {
		revision, err := revisionIn(era, version)
		if err != nil {
			return err
		}
		newRevision, err := c.Put(ctx, key, value, revision)
		written = versionIn(era, newRevision)
		return err
	})
	if err != nil {
		return 0, err
	}
	return written, nil
}

func (c *directClient) remove(ctx context.Context, key string, version objects.ObjectVersion) error {
	return c.inEra(func(era platform.Era) error {
		revision, err := revisionIn(era, version)
		if err != nil {
			return err
		}
		return c.Delete(ctx, key, revision)
	})
}

func (c *directClient) list(ctx context.Context, prefix string) (keys []string, err error) {
	err = c.inEra(func(platform.Era) (err error) {
		keys, err = c.List(ctx, prefix)
		return err
	})
	return keys, err
}

func (c *directClient) watch(ctx context.Context, key string, version objects.ObjectVersion, wait time.Duration) (object objects.Object, err error) {
	err = c.inEra(func(era platform.Era) error {
		from, err := revisionIn(era, version)
		if err != nil {
			from = 0 // all objects have a higher version
		}
		object, err = c.Watch(ctx, key, from, wait)
		object.Version = versionIn(era, object.Version)
		return err
	})
	if err != nil {
		return objects.Object{}, err
	}
	return object, nil
}
