// Package affinity keeps what a gateway knows of the prompt parts that engines still hold
// in their memory. It does no I/O, and callers pass in the current time.
//
// It handles prompts that begin like earlier ones: those of a session, whose beginning only
// the engine of the request before holds, and those of many callers with one beginning in
// common. An engine does not read again what it still holds, so it answers sooner. What it
// holds is inferred from this process's own requests, so it may be out of date: that costs
// time, but never gives a wrong answer.
package affinity

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/platform"
)

// Prompt is a prompt for one model or adapter as a chain of its beginnings, each one part
// longer than the one before.
type Prompt struct {
	prefixes []prefix
	hasOwn   bool // the last one ends with the part of the request or its session
}

// prefix is a beginning of a prompt.
type prefix struct {
	// hash covers the weights and all parts up to the end: an engine keeps parts per
	// model and adapter, and uses one only after all parts before it.
	hash   uint64
	tokens int
}

// NewPrompt returns the beginnings of a prompt for the weights.
func NewPrompt(w ident.Weights, p platform.Prompt) Prompt {
	if len(p.Segments) == 0 {
		return Prompt{}
	}
	out := Prompt{prefixes: make([]prefix, len(p.Segments)), hasOwn: p.HasOwn}
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(w.String())
	tokens := 0
	var length [20]byte
	for i, s := range p.Segments {
		tokens += s.Tokens
		_, _ = digest.WriteString(",")
		_, _ = digest.WriteString(string(s.Part))
		_, _ = digest.Write(strconv.AppendInt(append(length[:0], ':'), int64(s.Tokens), 10))
		out.prefixes[i] = prefix{hash: digest.Sum64(), tokens: tokens}
	}
	return out
}

// Tokens returns the length of all parts.
func (p Prompt) Tokens() int {
	if len(p.prefixes) == 0 {
		return 0
	}
	return p.prefixes[len(p.prefixes)-1].tokens
}

// IsZero reports whether nothing is known of the prompt's parts.
func (p Prompt) IsZero() bool { return len(p.prefixes) == 0 }
