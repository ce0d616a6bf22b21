package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// fullEvidence is the evidence of one gateway with as many requests as it tells, which it lost
// with a few targets.
func fullEvidence(gateway int) (e Evidence) {
	const ends = 4
	for i := range ends {
		end := EndWithRequests{End: endAt(gateway*ends+i, start.Add(time.Duration(i)*time.Second))}
		for n := range maxRequests / ends {
			end.Requests = append(end.Requests, request(fmt.Sprintf("/%d/%d/%d", gateway, i, n)))
		}
		e.Ends = append(e.Ends, end)
	}
	return e
}

// BenchmarkEvidenceOfManyGateways takes the evidence of 300 gateways, each as much as it tells.
func BenchmarkEvidenceOfManyGateways(b *testing.B) {
	const gateways = 300
	now := start.Add(time.Minute)
	records := make([]Evidence, gateways)
	for i := range records {
		records[i] = fullEvidence(i)
	}
	head := func() Head { return records[0].Ends[0].Requests[0].Head }
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before, table := heap(), NewRequests()
	for i, e := range records {
		table.Replace(ident.VM(fmt.Sprint(i)), e, now)
	}
	table.MayKnow(head)
	megabytes := float64(heap()-before) / (1 << 20)
	b.Run("look-up", func(b *testing.B) {
		for b.Loop() {
			table.MayKnow(head)
		}
		b.ReportMetric(megabytes, "MB")
	})
	b.Run("one changed record and a look-up of a suspected request", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			table.Replace(ident.VM(fmt.Sprint(i%gateways)), records[i%gateways], now)
			table.Suspected(records[0].Ends[0].Requests[0], now)
		}
	})
	b.Run("one changed record and a look-up", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			table.Replace(ident.VM(fmt.Sprint(i%gateways)), records[(i+i/gateways)%gateways], now)
			table.MayKnow(head)
		}
	})
}
