package grant

import (
	"math"
	"slices"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// shares tracks what client accounts use of the engine. Waiting requests are ordered so
// that each account gets tokens in proportion to its weight; what one does not ask for is
// left to the others.
type shares struct {
	accounts map[ident.Account]*accountShare
	all      service // of all accounts together
}

// accountShare is what one account uses of the engine.
type accountShare struct {
	weight  float64
	tokens  int // that its running requests may need
	running int
	waiting int
	service
}

// service counts the requests that asked for the engine and those that it served, with
// exponential decay.
type service struct {
	asked, served float64
	updated       time.Time
}

const (
	// serviceWindow is the time constant of the counts of a service. It is a few times
	// as long as a request waits.
	serviceWindow = 10 * time.Second
	// minServiceRatio is the share of the service rate of all accounts below which an
	// account's next request precedes all others. Accounts are promised a quarter; the
	// rest makes up for the delay of the counts.
	minServiceRatio = 0.35
	// maxIdleShares is the number of accounts from which on those without requests are
	// forgotten.
	maxIdleShares = 256
)

func newShares() shares { return shares{accounts: make(map[ident.Account]*accountShare)} }

// clone returns a copy that shares nothing with s.
func (s *shares) clone() shares {
	out := shares{accounts: make(map[ident.Account]*accountShare, len(s.accounts)), all: s.all}
	for name, a := range s.accounts {
		copied := *a
		out.accounts[name] = &copied
	}
	return out
}

func (v *service) decay(now time.Time) {
	factor := math.Exp(-max(now.Sub(v.updated), 0).Seconds() / serviceWindow.Seconds())
	v.asked, v.served, v.updated = v.asked*factor, v.served*factor, now
}

func (v *service) record(served bool, now time.Time) {
	v.decay(now)
	v.asked++
	if served {
		v.served++
	}
}

// enter records that a request waits.
func (s *shares) enter(r *Request) {
	a := s.accounts[r.Account]
	if a == nil {
		if len(s.accounts) >= maxIdleShares {
			s.removeIdle()
		}
		a = &accountShare{}
		s.accounts[r.Account] = a
	}
	a.weight = 1
	if r.Weight > 0 && !math.IsInf(r.Weight, 1) {
		a.weight = r.Weight
	}
	a.waiting++
}

func (s *shares) removeIdle() {
	for name, a := range s.accounts {
		if a.running == 0 && a.waiting == 0 {
			delete(s.accounts, name)
		}
	}
}

// leave records that a waiting request is not granted. If it counts as unserved, no other
// engine is known to serve it either.
func (s *shares) leave(r *Request, unserved bool, now time.Time) {
	a := s.accounts[r.Account]
	a.waiting--
	if unserved {
		a.record(false, now)
		s.all.record(false, now)
	}
}

// grant records that a waiting request runs.
func (s *shares) grant(r *Request, now time.Time) {
	a := s.accounts[r.Account]
	a.waiting--
	a.running++
	a.tokens += r.kvTokens()
	a.record(true, now)
	s.all.record(true, now)
}

// end records that a running request has ended.
func (s *shares) end(r *Request) {
	a := s.accounts[r.Account]
	a.running--
	a.tokens -= r.kvTokens()
}

// order reorders sorted requests. Of those that are equally late and urgent, the next one
// is always one of the account with the fewest tokens for its weight, as if those before
// it ran. The next request of an underserved account precedes all others. Requests of one
// account keep their order.
func (s *shares) order(requests []*Request, late func(*Request) bool, now time.Time) {
	if !severalAccounts(requests) {
		return
	}
	used := make(map[ident.Account]float64)
	for _, r := range requests {
		used[r.Account] = float64(s.accounts[r.Account].tokens)
	}
	rest := requests[s.promote(requests, late, now):]
	for i := range requests[:len(requests)-len(rest)] {
		used[requests[i].Account] += shareTokens(requests[i])
	}
	for len(rest) > 0 {
		n := 1
		for n < len(rest) && rest[n].Rank == rest[0].Rank && late(rest[n]) == late(rest[0]) {
			n++
		}
		s.interleave(rest[:n], used)
		rest = rest[n:]
	}
}

func severalAccounts(requests []*Request) bool {
	for _, r := range requests {
		if r.Account != requests[0].Account {
			return true
		}
	}
	return false
}

// shareTokens returns what a request counts for its account. One without token counts
// counts as one token.
func shareTokens(r *Request) float64 { return float64(max(r.kvTokens(), 1)) }

// interleave orders equally urgent requests by the accounts' used tokens, to which it adds
// those of the requests.
func (s *shares) interleave(requests []*Request, used map[ident.Account]float64) {
	type queue struct {
		account  ident.Account
		weight   float64
		requests []*Request
	}
	var queues []*queue
	byAccount := make(map[ident.Account]*queue)
	for _, r := range requests {
		q := byAccount[r.Account]
		if q == nil {
			q = &queue{account: r.Account, weight: s.accounts[r.Account].weight}
			byAccount[r.Account] = q
			queues = append(queues, q) // the order of equal accounts is that of their first requests
		}
		q.requests = append(q.requests, r)
	}
	for i := range requests {
		var next *queue
		for _, q := range queues {
			if len(q.requests) > 0 && (next == nil || used[q.account]/q.weight < used[next.account]/next.weight) {
				next = q
			}
		}
		requests[i], next.requests = next.requests[0], next.requests[1:]
		used[next.account] += shareTokens(requests[i])
	}
}

// promote moves the next request of each underserved account to the front, and returns the
// number of these. A request that can still meet its latency objective is preferred.
func (s *shares) promote(requests []*Request, late func(*Request) bool, now time.Time) int {
	s.all.decay(now)
	if s.all.asked == 0 || s.all.served == s.all.asked {
		return 0
	}
	next := make(map[ident.Account]*Request)
	for _, r := range requests {
		if old := next[r.Account]; s.underserved(r.Account, now) && (old == nil || late(old) && !late(r)) {
			next[r.Account] = r
		}
	}
	if len(next) == 0 {
		return 0
	}
	slices.SortStableFunc(requests, func(x, y *Request) int {
		switch px, py := next[x.Account] == x, next[y.Account] == y; {
		case px == py:
			return 0
		case px:
			return -1
		}
		return 1
	})
	return len(next)
}

// underserved reports whether the account is served much less often than all.
func (s *shares) underserved(name ident.Account, now time.Time) bool {
	a := s.accounts[name]
	a.decay(now)
	return a.served*s.all.asked < minServiceRatio*s.all.served*a.asked
}
