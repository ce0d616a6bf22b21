package objects

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/platform"
)

// kindVMs is the kind of the platform's VM objects.
const kindVMs platform.Kind = "vms"

// rootKind is the kind of objects whose keys have no directory.
const rootKind = "root"

// Client implements the object API on the platform's metadata store.
type Client struct {
	store *platform.Store
}

// NewClient returns a client of the platform at the base URL, such as
// http://10.0.0.1:7000.
func NewClient(base string) *Client {
	return &Client{store: platform.NewStore(strings.TrimPrefix(base, "http://"), platform.DefaultAnswerTime)}
}

// Objects returns the object API of the client.
func (c *Client) Objects() Objects {
	return Objects{Get: c.get, Put: c.put, Delete: c.remove, List: c.list, Watch: c.watch, Era: c.store.Era}
}

// Split returns the kind and name under which a key's object is stored: the
// key's directory, with slashes replaced by dots, and its last part.
func Split(key string) (platform.Kind, string) {
	i := strings.LastIndexByte(key, '/')
	if i < 0 {
		return rootKind, key
	}
	return platform.Kind(strings.ReplaceAll(key[:i], "/", ".")), key[i+1:]
}

// Join returns the key of the object of a kind and name; it inverts Split.
func Join(kind platform.Kind, name string) string {
	if kind == rootKind {
		return name
	}
	return strings.ReplaceAll(string(kind), ".", "/") + "/" + name
}

// objectError maps the store's errors to those of the object API.
func objectError(err error, key string) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrNotFound):
		return errors.NotFoundf("object %s", key)
	case errors.Is(err, platform.ErrConflict):
		return errors.Annotatef(ErrConflict, "object %s", key)
	}
	return errors.WithType(errors.Annotatef(err, "object %s", key), ErrUnavailable)
}

func decode(key string, o platform.Object) (Object, error) {
	out := Object{Key: key, Version: VersionOf(o.Position)}
	return out, errors.Annotatef(json.Unmarshal(o.Spec, &out.Value), "object %s", key)
}

func (c *Client) get(_ context.Context, key string) (Object, error) {
	kind, name := Split(key)
	o, err := c.store.Get(kind, name)
	if err != nil {
		return Object{}, objectError(err, key)
	}
	return decode(key, o)
}

func (c *Client) put(_ context.Context, key string, value []byte, version ObjectVersion) (ObjectVersion, error) {
	if len(value) > MaxValueBytes {
		return 0, errors.NotValidf("value of %d bytes for %s", len(value), key)
	}
	spec, err := json.Marshal(value)
	if err != nil {
		return 0, errors.Trace(err)
	}
	kind, name := Split(key)
	at, err := c.store.Put(kind, name, spec, version.Position())
	return VersionOf(at), objectError(err, key)
}

func (c *Client) remove(_ context.Context, key string, version ObjectVersion) error {
	kind, name := Split(key)
	return objectError(c.store.Delete(kind, name, version.Position()), key)
}

func (c *Client) list(_ context.Context, prefix string) ([]string, error) {
	kind, _ := Split(prefix)
	list, _, err := c.store.List(kind)
	if err != nil {
		return nil, objectError(err, prefix)
	}
	var keys []string
	for _, o := range list {
		if key := Join(kind, o.Name); strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys, nil
}

// watch waits until an object's version is above the given one. The platform
// watches whole kinds, so events of other objects are skipped.
func (c *Client) watch(ctx context.Context, key string, version ObjectVersion, wait time.Duration) (Object, error) {
	kind, name := Split(key)
	from := version.Position()
	for end := time.Now().Add(wait); ; {
		if from.Revision == 0 {
			list, asOf, err := c.store.List(kind)
			if err != nil {
				return Object{}, objectError(err, key)
			}
			for _, o := range list {
				if o.Name == name && VersionOf(o.Position) > version {
					return decode(key, o)
				}
			}
			from = asOf
		}
		left := time.Until(end)
		if left <= 0 || ctx.Err() != nil {
			return Object{}, errors.Timeoutf("watch of %s", key)
		}
		events, next, err := c.store.Watch(kind, from, left)
		if errors.Is(err, platform.ErrHistoryGone) || err == nil && !from.SameHistory(next) {
			from = platform.Position{}
			continue
		}
		if err != nil {
			return Object{}, objectError(err, key)
		}
		for i := len(events) - 1; i >= 0; i-- {
			if o := events[i].Object; o.Name == name && !events[i].Removed && VersionOf(o.Position) > version {
				return decode(key, o)
			}
		}
		from = next.Next(from)
	}
}

// VMState is a VM's state as reported by the platform.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMInfo is one VM in the platform's list. The list lags behind the VMs' actual
// state.
type VMInfo struct {
	VM      ident.VM     `json:"vm"`
	Domain  ident.Domain `json:"domain"`
	State   VMState      `json:"state"`
	Entry   string       `json:"entry,omitempty"` // link address; set on entry VMs only
	Targets []string     `json:"targets,omitempty"`
}

// VMs returns the platform's list of VMs. An entry that can't be read counts as a VM in an
// unknown state.
func (c *Client) VMs(context.Context) ([]VMInfo, error) {
	list, _, err := c.store.List(kindVMs)
	if err != nil {
		return nil, objectError(err, string(kindVMs))
	}
	vms := make([]VMInfo, len(list))
	for i, o := range list {
		if json.Unmarshal(o.Spec, &vms[i]) != nil {
			vms[i] = VMInfo{VM: ident.VM(o.Name)}
		}
	}
	return vms, nil
}
