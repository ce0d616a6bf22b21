package wire

//go:generate msgp -o load_schema_gen.go -tests=false -io=false

//msgp:tuple PaceReport

// PaceReport passes on what the response to a granted request says about its engine's
// load, on the stream of the grant and before the first event is reported. It is sent
// again at the end of a stream that has paused for longer than its objective.
type PaceReport struct {
	// Pace is how long work takes on the engine's VM, in percent; 100 is usual.
	Pace int
	// Running is the number of requests that the engine runs; -1 if it does not say.
	Running int
	// GapObjectiveMS is the longest allowed pause between two events of the stream, in
	// ms; 0 if none.
	GapObjectiveMS int64
	// EventUS is the time between two events of a stream at the usual pace and without
	// prompts in between, in us, as the gateway has measured it; 0 if it has not.
	EventUS int64
	// PauseMS is the longest pause between two events of the stream that has ended, in ms;
	// 0 before.
	PauseMS int64
}
