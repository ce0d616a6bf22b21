package queue

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// reserveRetry returns the time after which a refused request is expected to be
// served, and makes the adapter requested so that it is loaded by then. It returns
// 0 when it makes no reservation.
func (s *Scheduler) reserveRetry(now time.Time, a *adapterState, r *Request, expected time.Duration) time.Duration {
	wait := max(time.Duration(retryMargin*float64(expected)), time.Second)
	if !r.ReserveRetry || wait > maxReservationWait || a.state == loaded && !a.closing {
		return 0
	}
	if len(a.reserved) == 0 && s.reservedAdapters(now) >= s.maxReservedAdapters() {
		return 0
	}
	a.reserve(now, now.Add(wait), s.epoch)
	s.requested[a.key] = a
	return wait
}

// maxReservedAdapters limits the adapters that are loaded for requests that may
// never be retried.
func (s *Scheduler) maxReservedAdapters() int {
	return max(1, s.settings.Slots/slotsPerReservedAdapter)
}

// slotsPerReservedAdapter is the number of slots per adapter with reservations.
const slotsPerReservedAdapter = 4

// reservedAdapters counts the adapters with reservations that have not expired.
func (s *Scheduler) reservedAdapters(now time.Time) int {
	n := 0
	for _, adapters := range []map[ident.AdapterVersion]*adapterState{s.requested, s.resident} {
		for _, a := range adapters {
			if len(a.reserved) == 0 {
				continue
			}
			if a.expire(now, s.epoch, false); len(a.reserved) > 0 {
				n++
			}
		}
	}
	return n
}

// reservations are the refused requests of one adapter that were given a retry
// time.
type reservations struct {
	reserved    []reservation
	reservedSum float64 // sum of their refusal times, in seconds since the scheduler's epoch
}

type reservation struct {
	refusedAt, retryAt time.Time
}

const (
	// maxReservationWait is the longest wait that can be reserved.
	maxReservationWait = 60 * time.Second
	// reservationGrace is how long a reservation outlasts its retry time.
	reservationGrace = 5 * time.Second
	// retryMargin multiplies the expected wait to get the retry time.
	retryMargin = 2
)

func (r *reservations) reserve(now, retryAt, epoch time.Time) {
	r.reserved = append(r.reserved, reservation{refusedAt: now, retryAt: retryAt})
	r.reservedSum += now.Sub(epoch).Seconds()
}

// expire removes the expired reservations and, when retried is true, also the
// oldest one.
func (r *reservations) expire(now, epoch time.Time, retried bool) {
	var left []reservation
	r.reservedSum = 0
	for i, x := range r.reserved {
		if retried && i == 0 || now.After(x.retryAt.Add(reservationGrace)) {
			continue
		}
		left = append(left, x)
		r.reservedSum += x.refusedAt.Sub(epoch).Seconds()
	}
	r.reserved = left
}

const (
	// reservationLead is how long before a reserved retry its adapter's load
	// value is multiplied by reservationWeight, to load it ahead of most
	// others.
	reservationLead   = 12 * time.Second
	reservationWeight = 20
)
