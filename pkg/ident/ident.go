// Package ident defines the named identifiers and units that every other
// package shares, so that an adapter can never be passed where a target is
// meant.
package ident

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

//go:generate msgp -o ident_gen.go -tests=false -io=false

type (
	// VM names one virtual machine of the fleet.
	VM string
	// Domain names a failure domain.
	Domain string
	// Target names one model engine or plain service instance.
	Target string
	// Caller names a client of the system.
	Caller string
	// Service names a service that callers address.
	Service string
	// Model names a base model.
	Model string
	// Adapter names a LoRA adapter, without a version.
	Adapter string
	// Request identifies one request of one caller, unique in the fleet.
	Request string
	// Attempt identifies one try at running a request on one target. It is
	// a UUIDv7, so attempts sort by the time at which they were made.
	Attempt string
	// Command identifies one operator command; repeating it is harmless.
	Command string
	// Version numbers an adapter version; the first is 1.
	Version uint32
	// Incarnation is the fencing number of one life of an agent.
	Incarnation uint64
	// Revision numbers an accepted configuration record; the first is 1.
	Revision uint64
	// Priority orders callers; a higher value is served first. 0 to 9.
	Priority int
)

// AdapterVersion is an adapter at one exact version.
type AdapterVersion struct {
	Adapter Adapter `msg:"a"`
	Version Version `msg:"v"`
}

// String renders the form that callers use: adapter@version.
func (v AdapterVersion) String() string {
	return string(v.Adapter) + "@" + strconv.FormatUint(uint64(v.Version), 10)
}

// IsZero reports whether no adapter is named.
func (v AdapterVersion) IsZero() bool { return v.Adapter == "" }

// ParseAdapterVersion reads adapter or adapter@version. A missing version is
// returned as 0. It returns a NotValid error for an empty name or a version
// that is not a positive number.
func ParseAdapterVersion(s string) (AdapterVersion, error) {
	name, number, found := strings.Cut(s, "@")
	if err := CheckName(name); err != nil {
		return AdapterVersion{}, errors.Annotatef(err, "adapter of %q", s)
	}
	if !found {
		return AdapterVersion{Adapter: Adapter(name)}, nil
	}
	n, err := strconv.ParseUint(number, 10, 32)
	if err != nil || n == 0 {
		return AdapterVersion{}, errors.NotValidf("version %q of %q", number, s)
	}
	return AdapterVersion{Adapter: Adapter(name), Version: Version(n)}, nil
}

// MaxNameLength bounds every name, in bytes.
const MaxNameLength = 128

// CheckName returns a NotValid error unless name is 1 to MaxNameLength bytes
// of letters, digits, '-', '_' and '.', beginning with a letter or digit.
func CheckName(name string) error {
	if name == "" || len(name) > MaxNameLength {
		return errors.NotValidf("name of %d bytes", len(name))
	}
	for i, r := range name {
		if !nameRune(r, i == 0) {
			return errors.NotValidf("name %q: character %s at %d", name, fmt.Sprintf("%q", r), i)
		}
	}
	return nil
}

func nameRune(r rune, first bool) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	case r == '-', r == '_', r == '.':
		return !first
	}
	return false
}

// Weights names what a request runs on: a base model, or one of its adapters.
//
//msgp:ignore Weights
type Weights struct {
	Model Model `msg:"m"`
	AdapterVersion
}

// Unversioned returns the weights without their version.
func (w Weights) Unversioned() Weights {
	w.Version = 0
	return w
}

// String renders model/adapter@version.
func (w Weights) String() string {
	if w.IsZero() {
		return string(w.Model)
	}
	return string(w.Model) + "/" + w.AdapterVersion.String()
}
