package grant

import (
	"testing"
	"time"
)

// BenchmarkGrant measures one request from Enqueue to Withdraw on an engine that
// holds 21 adapters.
func BenchmarkGrant(b *testing.B) {
	held := make([]int, 21)
	for i := range held {
		held[i] = i
	}
	sched := schedulerWith(21, held...)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := RequestID(i + 1)
		sched.Enqueue(request(id, i%21, start))
		sched.Decide(start)
		sched.Started(id, 50*time.Millisecond, start)
		sched.Withdraw(id, start)
	}
}
