package soak

import "time"

// Served returns how many requests were sent between two times, and how many of
// them got the expected response. Requests whose caller disconnected and those of
// accounts that send too much don't count.
func (o *Oracle) Served(from, to time.Time) (sent, served int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for attempt, r := range o.requests {
		a, answered := o.answers[attempt]
		if r.Invalid || r.At.Before(from) || !r.At.Before(to) || answered && a.Disconnected {
			continue
		}
		if o.floods(attempt) {
			continue
		}
		sent++
		if a.Status == 200 && a.Correct {
			served++
		}
	}
	return sent, served
}
