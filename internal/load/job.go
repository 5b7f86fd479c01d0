package load

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// job is one turn of a chat or one order, which is retried until it is answered. An order keeps its idempotency key.
type job struct {
	chat bool
	// chatIndex is the index of the chat in the generator.
	chatIndex int
	// reusableTokens is the estimated number of prompt tokens that earlier turns of the chat already contained.
	reusableTokens int64
	// answer is the content of the chat's answer once it is complete.
	answer string
	// path is the request's path for a chat; orders use Plan.OrderPath.
	path string
	key  string
	body []byte
	// firstEntry is the index of the entry host of the first attempt.
	firstEntry int
}

// newOrder returns an order whose item and quantity depend on its number.
func newOrder(number int, seed uint64, firstEntry int) *job {
	body, _ := json.Marshal(struct {
		Item     string
		Quantity int
	}{"lace-" + strconv.Itoa(number%17), 1 + number%9})
	return &job{key: orderKey(seed, number), body: body, firstEntry: firstEntry}
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

// promptWords is the number of words in each message of a user.
const promptWords = 60

// bytesPerToken is the usual estimate of token length in text.
const bytesPerToken = 4

// newChatTurn returns the next turn of a chat. Its messages contain the earlier turns and their answers.
func newChatTurn(plan Plan, chat int, messages []chatMessage, firstEntry int) *job {
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
		chat: true, chatIndex: chat, reusableTokens: reusable, path: "/v1/chat/completions", body: body, firstEntry: firstEntry,
	}
}

// chatEvent holds the fields of a streamed chat completion chunk that the generator reads.
type chatEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// eventText returns the text in the data of a server-sent event; done is true for the event that ends the stream.
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
