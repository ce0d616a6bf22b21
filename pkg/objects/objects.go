// Package objects is the client of the services that the platform provides: the
// object API and the list of VMs.
package objects

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/platform"
)

// MaxValueBytes is the maximum size of a value. The store accepts objects of up
// to 1 MB, of which the base64 encoding takes a quarter and the object's own
// fields take some bytes.
const MaxValueBytes = 3<<18 - 4096

// ErrConflict is returned when an object's version is not the expected one.
// The update did not take effect.
const ErrConflict = errors.ConstError("object version conflict")

// ErrUnavailable is returned when the object API did not answer. An update may
// have taken effect, or may still take effect later.
const ErrUnavailable = errors.ConstError("object API unavailable")

// ObjectVersion is an object's version; 0 means that the object does not exist. A version
// belongs to one history of the store: after a return from an older copy all objects have
// higher versions, and writes under earlier ones fail.
type ObjectVersion uint64

// revisionBits is the number of the low bits of a version that hold the revision. The
// others hold the era, so that a later era has higher versions.
const revisionBits = 44

// VersionOf returns the version of an object at a position in the store.
func VersionOf(at platform.Position) ObjectVersion {
	return ObjectVersion(uint64(at.Era)<<revisionBits | uint64(at.Revision))
}

// Position returns the position at which the store has an object of the version.
func (v ObjectVersion) Position() platform.Position {
	return platform.Position{Era: platform.Era(v >> revisionBits), Revision: platform.Revision(v & (1<<revisionBits - 1))}
}

// Era returns the era of the store's history that the version belongs to, 0 if it is not
// known.
func (v ObjectVersion) Era() platform.Era { return v.Position().Era }

// Object is a stored value with its key and version.
type Object struct {
	Key     string
	Value   []byte
	Version ObjectVersion
}

// Objects is the object API. Tests replace its functions.
type Objects struct {
	// Get returns an object, or a NotFound error.
	Get func(ctx context.Context, key string) (Object, error)
	// Put replaces the object and returns its new version, if its version is
	// still the given one.
	Put func(ctx context.Context, key string, value []byte, version ObjectVersion) (ObjectVersion, error)
	// Delete removes the object if its version is still the given one.
	Delete func(ctx context.Context, key string, version ObjectVersion) error
	// List returns the keys that begin with prefix, in order.
	List func(ctx context.Context, prefix string) ([]string, error)
	// Watch waits until the object's version is above the given one, and
	// returns the object. It returns a Timeout error if that does not happen
	// within wait.
	Watch func(ctx context.Context, key string, version ObjectVersion, wait time.Duration) (Object, error)
	// Era returns the newest era of the store's history that the calls of this process
	// have shown, 0 if they have shown none.
	Era func() platform.Era
}
