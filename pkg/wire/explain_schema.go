package wire

//go:generate msgp -o explain_schema_gen.go -tests=false -io=false

//msgp:tuple GrantPreview GrantPreviewReply

// GrantPreview asks an agent what it would answer to a request now. It reserves nothing.
type GrantPreview struct {
	Request GrantRequest
}

// GrantPreviewReply answers a GrantPreview.
type GrantPreviewReply struct {
	// Reply is what the agent would answer at once. Its code is 0 if the request would
	// wait; its expected wait is then set as with GrantBusy.
	Reply GrantReply
	// Waiting and Running are the numbers of requests at the engine.
	Waiting, Running int
}
