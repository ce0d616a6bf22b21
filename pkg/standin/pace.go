package standin

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/hyssoproad/hyssoproad/platform"
)

// WorkerPace is how long work takes on a worker's VM, in percent: 100 is usual, 250 takes
// two and a half times as long. The worker states it in its responses.
type WorkerPace struct {
	Base float64 // usual pace of the VM; 0 if the worker states none
	// In a share of the intervals, at random, the VM is slower by a factor.
	SlowShare, SlowFactor float64
	Interval              time.Duration
}

// At returns the pace at a time, which is the same for all workers with the seed.
func (p WorkerPace) At(now time.Time, seed uint64) float64 {
	if p.Base == 0 {
		return 100
	}
	if p.Interval > 0 {
		interval := uint64(now.UnixNano() / int64(p.Interval))
		if rand.New(rand.NewPCG(seed, interval)).Float64() < p.SlowShare {
			return p.SlowFactor * p.Base
		}
	}
	return p.Base
}

// scaled returns how long work takes at the worker's pace that usually takes d.
func (w *Worker) scaled(d time.Duration) time.Duration {
	return time.Duration(w.Pace.At(time.Now(), w.Seed) / 100 * float64(d))
}

// stateLoad adds the worker's load to the head of a response, if it states its pace.
func (w *Worker) stateLoad(head interface{ Set(key, value string) }) {
	if w.Pace.Base == 0 {
		return
	}
	w.mu.Lock()
	running := len(w.running)
	w.mu.Unlock()
	pace := strconv.FormatFloat(w.Pace.At(time.Now(), w.Seed), 'f', -1, 64)
	head.Set(platform.HeaderLoad, strconv.Itoa(running)+",0,"+strconv.Itoa(w.Slots)+","+pace)
}
