package wire

var grantReasonNames = [...]string{
	"none", "engine-down", "model-absent", "reading", "places", "loading", "adapters-used", "old-version", "draining", "rate-limit", "long-prompt", "too-large",
}

// String returns the reason's name.
func (r GrantReason) String() string {
	if int(r) >= len(grantReasonNames) {
		return "unknown"
	}
	return grantReasonNames[r]
}
