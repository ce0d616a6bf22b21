package affinity

import (
	"math"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/fleet"
)

// Kept is what a target is likely to keep of a prompt.
type Kept struct {
	// Tokens is the length of the beginning that it does not have to read again, as far
	// as that is a reason to send the request there.
	Tokens int
	// All is the length of the whole beginning that it is likely to keep.
	All int
	// Age is the time since the last use of that beginning.
	Age time.Duration
}

// Demand is what tells over how many engines the requests with one beginning are spread.
type Demand struct {
	// Gateways is the number of gateways, which are taken to get equal shares.
	Gateways int
	// Work is the time that one request takes of an engine.
	Work time.Duration
}

// engines returns the number of engines that requests need which arrive here at a rate.
func (d Demand) engines(perSecond float64) int {
	return int(math.Ceil(perSecond * float64(d.Gateways) * d.Work.Seconds() / maxEngineShare))
}

// Kept returns what each of the targets is likely to keep of a prompt, and over how many
// engines the requests with its shared beginning are spread. free returns how much
// memory a target has for what it keeps, in tokens, or a negative number if that is unknown.
//
// The whole prompt of a session counts wherever it is kept. A shared beginning counts once
// as many engines keep it as its rate needs: until then, its requests also go to engines
// that do not.
func (t *Table) Kept(p Prompt, targets []fleet.Target, free func(fleet.Target) int, d Demand, now time.Time) (out []Kept, needed int) {
	out = make([]Kept, len(targets))
	if p.IsZero() {
		return out, 1
	}
	var inline [16]knownEngine // enough for the candidates of a request
	engines := append(inline[:0], make([]knownEngine, len(targets))...)
	for i, target := range targets {
		if e := t.engines.find(target); e != nil {
			engines[i] = knownEngine{number: e.number, read: e.read.Load(), free: free(target)}
		}
	}
	at := t.ticks(now)
	needed = 1
	for i, prefix := range p.prefixes {
		r, known := t.find(prefix.hash)
		if !known {
			continue
		}
		own := p.hasOwn && i == len(p.prefixes)-1
		counts := own
		if !own {
			n := d.engines(r.rateAt(at))
			counts, needed = r.recentHolders(at) >= n, max(needed, n)
		}
		for j := range engines {
			// The engine read all parts before this one too, and has used them at
			// least as lately, whether they are remembered or not.
			h, keeps := engines[j].keeps(r, at, d.Gateways)
			if !keeps {
				continue
			}
			out[j].All, out[j].Age = prefix.tokens, time.Duration(at-h.usedAt)*tick
			if counts {
				out[j].Tokens = prefix.tokens
			}
		}
	}
	return out, needed
}

// knownEngine is an engine while the beginnings of a prompt are looked up.
type knownEngine struct {
	number, read uint32
	free         int
}

// keeps returns the last use of a beginning at the engine, and reports whether the engine is
// likely to keep it.
func (e *knownEngine) keeps(r record, at uint32, gateways int) (holder, bool) {
	if e.number == 0 {
		return holder{}, false
	}
	for _, h := range r.holders {
		if h.engine == e.number && isRecent(h, at) && !e.displaced(h, gateways) {
			return h, true
		}
	}
	return holder{}, false
}

// displaced reports whether what the engine has read since the last use needs the memory of
// the beginning. Other gateways are taken to send as much as this one.
func (e *knownEngine) displaced(h holder, gateways int) bool {
	return e.free >= 0 && float64(e.read-h.read)*float64(gateways) > float64(e.free)
}

func isRecent(h holder, at uint32) bool {
	return h.engine != 0 && time.Duration(at-h.usedAt)*tick < TTL
}

// recentHolders returns the number of engines that have used the beginning lately.
func (r record) recentHolders(at uint32) int {
	n := 0
	for _, h := range r.holders {
		if isRecent(h, at) {
			n++
		}
	}
	return n
}

// Holders returns the addresses of the engines that lately used the longest known beginning
// of a prompt.
func (t *Table) Holders(p Prompt, now time.Time) []string {
	at := t.ticks(now)
	for i := len(p.prefixes) - 1; i >= 0; i-- {
		r, known := t.find(p.prefixes[i].hash)
		if !known {
			continue
		}
		var out []string
		for _, h := range r.holders {
			if !isRecent(h, at) {
				continue
			}
			if address, ok := t.engines.address(h.engine); ok {
				out = append(out, address)
			}
		}
		return out
	}
	return nil
}
