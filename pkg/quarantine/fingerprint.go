package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Head is a hash of a request without its body. It is cheap, and tells which bodies are worth
// hashing; callers can make requests that share one.
type Head uint64

// contentBytes is the length of the hash of a request's content. Nobody can find another
// content with the same hash.
const contentBytes = 16

// Fingerprint identifies requests by their caller and content: method, host, path with
// query, and body. Their IDs and other headers may differ.
type Fingerprint struct {
	Head    Head
	Content [contentBytes]byte
}

// RequestContent is what a fingerprint is of.
type RequestContent struct {
	Caller, Method, Host, URI string
	Body                      []byte
}

// Head returns the hash of all but the body, with its length.
func (c RequestContent) Head() Head {
	h := xxhash.New()
	c.writeHead(h)
	return Head(h.Sum64())
}

// Fingerprint returns the fingerprint.
func (c RequestContent) Fingerprint() Fingerprint {
	f := Fingerprint{Head: c.Head()}
	h := sha256.New()
	c.writeHead(h)
	_, _ = h.Write(c.Body) // a hash never fails
	copy(f.Content[:], h.Sum(nil))
	return f
}

// writeHead writes all but the body, each field with its length, so that none can pass for
// a part of another.
func (c RequestContent) writeHead(h hash.Hash) {
	var length [8]byte
	for _, field := range []string{c.Caller, c.Method, c.Host, c.URI} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(field))
	}
	binary.BigEndian.PutUint64(length[:], uint64(len(c.Body)))
	_, _ = h.Write(length[:])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string {
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, uint64(f.Head))) + "-" + hex.EncodeToString(f.Content[:])
}

// MarshalText returns the text of String.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText parses the text of String. It returns a NotValid error for any other.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	const headDigits = 16
	if len(text) != headDigits+1+2*contentBytes || text[headDigits] != '-' {
		return errors.NotValidf("fingerprint of %d bytes", len(text))
	}
	head, err := strconv.ParseUint(string(text[:headDigits]), 16, 64)
	if err != nil {
		return errors.NewNotValid(err, "fingerprint")
	}
	if _, err := hex.Decode(f.Content[:], text[headDigits+1:]); err != nil {
		return errors.NewNotValid(err, "fingerprint")
	}
	f.Head = Head(head)
	return nil
}
