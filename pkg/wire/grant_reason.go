package wire

var reasonNames = [...]string{
	"none", "engine-down", "model-absent", "reading", "places", "loading", "adapters-used", "old-version",
}

// String returns the reason's name.
func (r GrantReason) String() string {
	if int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}
