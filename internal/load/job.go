package load

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// job is one request, sent again under the same key until it has an answer.
type job struct {
	chat bool
	// number is the chat's number.
	number int
	// reusable is the number of prompt tokens that earlier turns of the chat had.
	reusable int64
	// answer is the content of a whole chat answer.
	answer string
	path   string
	key    string
	body   []byte
	first  int
}

func newOrder(number int, seed uint64, first int) *job {
	body, _ := json.Marshal(struct {
		Item     string
		Quantity int
	}{"lace-" + strconv.Itoa(number%17), 1 + number%9})
	return &job{key: keyOf(seed, number), body: body, first: first}
}

type chatRequest struct {
	Model        string        `json:"model"`
	Conversation string        `json:"conversation"`
	Messages     []chatMessage `json:"messages"`
	MaxTokens    int           `json:"max_tokens"`
	Stream       bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// promptWords is the number of words that each turn adds to a chat.
const promptWords = 60

// bytesPerToken is the usual estimate for text.
const bytesPerToken = 4

// newChat builds a turn of a chat; a later turn contains the earlier ones and their answers.
func newChat(plan Plan, chat int, messages []chatMessage, first int) *job {
	request := chatRequest{
		Model:        plan.Model,
		Conversation: "load-" + strconv.FormatUint(plan.Seed, 10) + "-" + strconv.Itoa(chat),
		MaxTokens:    plan.MaxTokens,
		Stream:       true,
		Messages:     messages,
	}
	reusable := int64(0)
	for _, message := range messages[:len(messages)-1] {
		reusable += int64(len(message.Content)/bytesPerToken + 1)
	}
	body, _ := json.Marshal(request)
	return &job{
		chat: true, number: chat, reusable: reusable, path: "/v1/chat/completions", body: body, first: first,
	}
}

type chatEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// eventText returns the content of a server-sent event's data, and whether the data ends the stream.
func eventText(data []byte) (text string, done bool, err error) {
	if bytes.Equal(data, []byte("[DONE]")) {
		return "", true, nil
	}
	var event chatEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return "", false, err
	}
	for _, choice := range event.Choices {
		text += choice.Delta.Content
	}
	return text, false, nil
}
