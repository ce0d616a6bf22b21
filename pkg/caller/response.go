package caller

import (
	"github.com/hyssoproad/hyssoproad/pkg/dispatch"
)

// Completion is the response to a completion, or one event of its stream.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *CompletionUsage   `json:"usage,omitempty"`
}

// CompletionChoice holds generated text. Chat completions use Message or Delta
// instead of Text.
type CompletionChoice struct {
	Index   int      `json:"index"`
	Text    string   `json:"text,omitempty"`
	Message *Message `json:"message,omitempty"`
	Delta   *Message `json:"delta,omitempty"`
	Finish  string   `json:"finish_reason,omitempty"`
}

// CompletionUsage counts the generated tokens.
type CompletionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// responseFormat builds responses in the form of completions or of chat
// completions.
type responseFormat interface {
	response(id, model, text string, r dispatch.Result) Completion
	chunk(id, model, text string) Completion
}

type completionFormat struct{}

type chatFormat struct{}

var (
	_ responseFormat = completionFormat{}
	_ responseFormat = chatFormat{}
)

const assistant = "assistant"

func (completionFormat) response(id, model, text string, r dispatch.Result) Completion {
	return Completion{
		ID: id, Object: "text_completion", Model: model,
		Choices: []CompletionChoice{{Text: text, Finish: r.FinishReason}},
		Usage:   &CompletionUsage{CompletionTokens: r.TokenCount},
	}
}

func (completionFormat) chunk(id, model, text string) Completion {
	return Completion{ID: id, Object: "text_completion", Model: model, Choices: []CompletionChoice{{Text: text}}}
}

func (chatFormat) response(id, model, text string, r dispatch.Result) Completion {
	return Completion{
		ID: id, Object: "chat.completion", Model: model,
		Choices: []CompletionChoice{{Message: &Message{Role: assistant, Content: text}, Finish: r.FinishReason}},
		Usage:   &CompletionUsage{CompletionTokens: r.TokenCount},
	}
}

func (chatFormat) chunk(id, model, text string) Completion {
	return Completion{
		ID: id, Object: "chat.completion.chunk", Model: model,
		Choices: []CompletionChoice{{Delta: &Message{Role: assistant, Content: text}}},
	}
}
