package caller

import (
	"github.com/hyssoproad/hyssoproad/pkg/dispatch"
)

// Completion is the answer to a completion or one event of its stream.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *CompletionUsage   `json:"usage,omitempty"`
}

// CompletionChoice is a text; chats use Message or Delta instead.
type CompletionChoice struct {
	Index   int      `json:"index"`
	Text    string   `json:"text,omitempty"`
	Message *Message `json:"message,omitempty"`
	Delta   *Message `json:"delta,omitempty"`
	Finish  string   `json:"finish_reason,omitempty"`
}

// CompletionUsage counts the tokens generated.
type CompletionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// shape is the form of an answer: completion or chat completion.
type shape interface {
	whole(id, model, text string, r dispatch.Result) Completion
	chunk(id, model, text string) Completion
}

type textShape struct{}

type chatShape struct{}

var (
	_ shape = textShape{}
	_ shape = chatShape{}
)

const assistant = "assistant"

func (textShape) whole(id, model, text string, r dispatch.Result) Completion {
	return Completion{
		ID: id, Object: "text_completion", Model: model,
		Choices: []CompletionChoice{{Text: text, Finish: r.Finish}},
		Usage:   &CompletionUsage{CompletionTokens: r.Total},
	}
}

func (textShape) chunk(id, model, text string) Completion {
	return Completion{ID: id, Object: "text_completion", Model: model, Choices: []CompletionChoice{{Text: text}}}
}

func (chatShape) whole(id, model, text string, r dispatch.Result) Completion {
	return Completion{
		ID: id, Object: "chat.completion", Model: model,
		Choices: []CompletionChoice{{Message: &Message{Role: assistant, Content: text}, Finish: r.Finish}},
		Usage:   &CompletionUsage{CompletionTokens: r.Total},
	}
}

func (chatShape) chunk(id, model, text string) Completion {
	return Completion{
		ID: id, Object: "chat.completion.chunk", Model: model,
		Choices: []CompletionChoice{{Delta: &Message{Role: assistant, Content: text}}},
	}
}
