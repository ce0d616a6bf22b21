// Package target is the client of the platform's targets: it speaks the
// completions API of model engines and calls plain services.
package target

// Headers of the engine API.
const (
	HeaderFencingToken   = "Fencing-Token"
	HeaderBootID         = "Engine-Boot"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	ID        string `json:"request_id"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
	// ResumeFrom is the offset of the first token to send when resuming a
	// request that ran before.
	ResumeFrom int `json:"resume_from,omitempty"`
}

// CompletionChunk is one server-sent event of a completion.
type CompletionChunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the generated text of a chunk.
type Choice struct {
	Index       int    `json:"index"`
	Text        string `json:"text"`
	TokenOffset int    `json:"token_offset"`
	Finish      string `json:"finish_reason,omitempty"`
}

// Usage is the token count of a complete answer.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// AdapterOrder is the body of the orders to load and unload an adapter.
type AdapterOrder struct {
	Name    string `json:"lora_name"`
	Weights string `json:"lora_path,omitempty"`
}

// RoleOrder is the body of POST /v1/role.
type RoleOrder struct {
	Role string `json:"role"`
}

// CancelOrder is the body of POST /v1/cancel.
type CancelOrder struct {
	ID string `json:"request_id"`
}

// ModelList is the answer to GET /v1/models.
type ModelList struct {
	Data []LoadedAdapter `json:"data"`
}

// LoadedAdapter is one adapter that an engine holds.
type LoadedAdapter struct {
	ID   string `json:"id"`
	Root string `json:"root"`
}

// LoadReport is the answer to GET /load. It may be up to ReportLag old.
type LoadReport struct {
	Running int `json:"running"`
	// InUse lists the adapters that requests are using.
	InUse []string `json:"running_lora_adapters"`
}
