package soak

import (
	"math/rand/v2"

	"github.com/hyssoproad/hyssoproad/pkg/standin"
)

// refuseLateTwice makes all targets refuse requests, and send many refusals once more into the
// next request on the connection.
func refuseLateTwice(d *deployment, _ *rand.Rand) (func() error, error) {
	set := func(f standin.WorkerFaults) {
		for _, t := range d.targets {
			t.SetFaults(f)
		}
	}
	set(standin.WorkerFaults{ShedShare: 0.6, RefusalCopyShare: 0.8})
	return func() error { set(standin.WorkerFaults{}); return nil }, nil
}
