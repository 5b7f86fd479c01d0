package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/chestnutroad/chestnutroad"
)

// maxBufferedAnswerBytes limits the memory for an answer that is collected before it is sent.
const maxBufferedAnswerBytes = 4 << 20

// chatChunk is one event of a streamed chat completion.
type chatChunk struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// chatCompletion is the answer to a chat that the caller did not ask to be streamed.
type chatCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   chatUsage    `json:"usage"`
}

type chatChoice struct {
	Index        int         `json:"index"`
	Message      chatContent `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

type chatContent struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatUsage struct {
	CompletionTokens chestnutroad.Tokens `json:"completion_tokens"`
}

// bufferedAnswer collects a streamed answer to a chat and sends it as one document.
type bufferedAnswer struct {
	out          *output
	status       int
	header       http.Header
	first        chatChunk
	finishReason string
	content      strings.Builder
	// errorDocument is the body of an answer with an error status.
	errorDocument []byte
	tokens        chestnutroad.Tokens
}

// Head keeps the status and the headers until the answer is complete.
func (an *bufferedAnswer) Head(status int, header http.Header) error {
	an.status = status
	an.header = header
	return nil
}

// Chunk adds one event, or one piece of an error document, to the answer.
func (an *bufferedAnswer) Chunk(data []byte, tokens chestnutroad.Tokens) error {
	if an.content.Len()+len(an.errorDocument)+len(data) > maxBufferedAnswerBytes {
		return chestnutroad.Refuse(chestnutroad.BadAnswer, "the engine's answer is over 4 MiB; ask for a streamed answer")
	}
	if an.status != http.StatusOK {
		an.errorDocument = append(an.errorDocument, data...)
		return nil
	}
	payload := eventData(data)
	if len(payload) == 0 || bytes.Equal(payload, doneData) {
		return nil
	}
	var chunk chatChunk
	if err := json.Unmarshal(payload, &chunk); err != nil {
		return chestnutroad.Refuse(chestnutroad.BadAnswer, "the engine sent an event that is not JSON")
	}
	an.add(&chunk)
	an.tokens += tokens
	return nil
}

func (an *bufferedAnswer) add(chunk *chatChunk) {
	if an.first.ID == "" {
		an.first = *chunk
	}
	for _, choice := range chunk.Choices {
		an.content.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			an.finishReason = *choice.FinishReason
		}
	}
}

func (an *bufferedAnswer) finish() error {
	if an.status != http.StatusOK {
		an.out.ex.Writer.Header().Set("Content-Type", an.header.Get("Content-Type"))
		an.out.writeStatus(an.status)
		return an.out.write(an.errorDocument)
	}
	body, err := json.Marshal(an.completion())
	if err != nil {
		return err
	}
	callerHeader := an.out.ex.Writer.Header()
	callerHeader.Set("Content-Type", "application/json")
	callerHeader.Set("Content-Length", strconv.Itoa(len(body)))
	an.out.writeStatus(http.StatusOK)
	return an.out.write(body)
}

func (an *bufferedAnswer) completion() chatCompletion {
	return chatCompletion{
		ID:      an.first.ID,
		Object:  "chat.completion",
		Created: an.first.Created,
		Model:   an.first.Model,
		Choices: []chatChoice{{
			Message:      chatContent{Role: "assistant", Content: an.content.String()},
			FinishReason: an.finishReason,
		}},
		Usage: chatUsage{CompletionTokens: an.tokens},
	}
}
