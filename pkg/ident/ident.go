// Package ident defines the identifier types that all packages share. Distinct
// types keep one kind of identifier from being passed as another, such as an
// adapter as a target.
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
	// Target names one instance of a model engine or plain service.
	Target string
	// Caller names a client of the system.
	Caller string
	// Software names a version of the software that targets run.
	Software string
	// Service names a service that callers address.
	Service string
	// Account names a client account, whose callers share keys and a quota.
	Account string
	// Model names a base model.
	Model string
	// PromptPart names a part of a prompt that requests share.
	PromptPart string
	// Adapter names a LoRA adapter, without a version.
	Adapter string
	// Request identifies one request of one caller. It is unique in the fleet.
	Request string
	// Attempt identifies one try at running a request on one target. It is a
	// UUIDv7, so attempts sort by creation time.
	Attempt string
	// Command identifies one operator command. Repeating a command with the
	// same identifier has no further effect.
	Command string
	// Version is the number of an adapter version; the first is 1.
	Version uint32
	// Incarnation is the fencing token of one run of an agent process.
	Incarnation uint64
	// Revision is the number of an accepted configuration record; the first
	// is 1.
	Revision uint64
	// Priority orders callers, from 0 to 9. Higher values are served first.
	Priority int
)

// AdapterVersion is one version of an adapter.
type AdapterVersion struct {
	Adapter Adapter `msg:"a"`
	Version Version `msg:"v"`
}

// String returns the form that callers use: adapter@version.
func (v AdapterVersion) String() string {
	return string(v.Adapter) + "@" + strconv.FormatUint(uint64(v.Version), 10)
}

// IsZero reports whether v names no adapter.
func (v AdapterVersion) IsZero() bool { return v.Adapter == "" }

// ParseAdapterVersion parses adapter or adapter@version. A missing version is
// returned as 0. It returns a NotValid error for an invalid name or a version
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

// MaxNameLength is the maximum length of a name, in bytes.
const MaxNameLength = 128

// CheckName returns a NotValid error unless name is 1 to MaxNameLength bytes
// of letters, digits, '-', '_' and '.', beginning with a letter or digit.
func CheckName(name string) error {
	if name == "" || len(name) > MaxNameLength {
		return errors.NotValidf("name of %d bytes", len(name))
	}
	for i, r := range name {
		if !isNameRune(r, i == 0) {
			return errors.NotValidf("name %q: character %s at %d", name, fmt.Sprintf("%q", r), i)
		}
	}
	return nil
}

func isNameRune(r rune, first bool) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	case r == '-', r == '_', r == '.':
		return !first
	}
	return false
}

// Weights identifies what a request runs on: a base model or one of its
// adapters.
//
//msgp:ignore Weights
type Weights struct {
	Model Model `msg:"m"`
	AdapterVersion
}

// Unversioned returns w without the adapter's version.
func (w Weights) Unversioned() Weights {
	w.Version = 0
	return w
}

// String returns model/adapter@version, or the model alone without an adapter.
func (w Weights) String() string {
	if w.IsZero() {
		return string(w.Model)
	}
	return string(w.Model) + "/" + w.AdapterVersion.String()
}
