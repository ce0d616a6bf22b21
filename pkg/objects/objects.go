// Package objects is the client of the services that the platform provides: the
// object API and the list of VMs.
package objects

import (
	"context"
	"time"

	"github.com/juju/errors"
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

// ObjectVersion is an object's version; 0 means that the object does not exist.
type ObjectVersion uint64

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
}
