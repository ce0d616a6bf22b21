package experiment

// Offered loads of the standard workloads, in requests per second, from light load
// to beyond saturation.
var (
	bergstromLoads = []float64{3, 4, 5, 6, 9, 14}
	latonesLoads   = []float64{4, 6, 9, 12, 16, 22}
)

// Offered loads of the workloads with a fault, in requests per second.
const (
	bergstromFaultLoad = 6
	latonesFaultLoad   = 9
)

var faultNames = map[Fault]string{
	FaultShift: "shift", FaultColdEngine: "cold-engine", FaultSlowStore: "slow-store",
	FaultOutage: "outage", FaultDrain: "drain", FaultDomainFailure: "lost-domain",
}

// Standard returns the standard set of workloads.
func Standard() []Workload {
	var out []Workload
	for _, offered := range bergstromLoads {
		out = append(out, Bergstrom(offered))
	}
	for _, offered := range latonesLoads {
		out = append(out, Latones(offered))
	}
	for f := FaultShift; f <= FaultDomainFailure; f++ {
		for _, w := range []Workload{Bergstrom(bergstromFaultLoad), Latones(latonesFaultLoad)} {
			w.Name += "-" + faultNames[f]
			w.Fault = f
			w.Retries = f == FaultSlowStore
			out = append(out, w)
		}
	}
	return out
}
