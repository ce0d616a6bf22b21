package grant

import (
	"testing"
	"time"
)

// BenchmarkGrant is one request's whole way through the book of an engine that
// holds 21 adapters.
func BenchmarkGrant(b *testing.B) {
	held := make([]int, 21)
	for i := range held {
		held[i] = i
	}
	book := bookWith(21, held...)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := WantID(i + 1)
		book.Ask(want(id, i%21, start))
		book.Answer(start)
		book.Started(id, 50*time.Millisecond)
		book.Withdraw(id, start)
	}
}
