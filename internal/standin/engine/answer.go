package engine

import (
	"fmt"

	chestnutroad "github.com/chestnutroad/chestnutroad"
)

// completion is the JSON body of an answer that is not streamed, and of each event of one that is.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *reply  `json:"delta,omitempty"`
	Message      *reply  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type reply struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     chestnutroad.Tokens `json:"prompt_tokens"`
	CompletionTokens chestnutroad.Tokens `json:"completion_tokens"`
	TotalTokens      chestnutroad.Tokens `json:"total_tokens"`
	Details          usageDetails        `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens chestnutroad.Tokens `json:"cached_tokens"`
}

// newCompletion returns an answer without choices. Its id is derived from the prompt and its creation time is 0, so that a
// resumed stream is byte for byte the same as one that did not break.
func newCompletion(object, model string, pr prompt) completion {
	return completion{ID: fmt.Sprintf("chatcmpl-%016x", pr.digest), Object: object, Model: model, Choices: []choice{}}
}

// event returns the streamed event of the token at the index; the event of the last token has a finish reason.
func (pr prompt) event(model string, index chestnutroad.Tokens) completion {
	answer := newCompletion("chat.completion.chunk", model, pr)
	delta := &reply{Content: pr.token(index)}
	if index == 0 {
		delta.Role = "assistant"
	}
	streamed := choice{Delta: delta}
	if index == pr.output-1 {
		streamed.FinishReason = finishReason()
	}
	answer.Choices = append(answer.Choices, streamed)
	return answer
}

func finishReason() *string {
	reason := "length"
	return &reason
}

func (pr prompt) usage(reused chestnutroad.Tokens) *usage {
	return &usage{
		PromptTokens:     pr.tokens,
		CompletionTokens: pr.output,
		TotalTokens:      pr.tokens + pr.output,
		Details:          usageDetails{CachedTokens: reused},
	}
}
