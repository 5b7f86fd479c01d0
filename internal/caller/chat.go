package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// bytesPerToken is the usual estimate for a prompt, since the model's tokeniser is not available here.
	bytesPerToken    = 4
	defaultMaxTokens = 512
)

// chatBody holds the fields of a chat-completions request that routing needs.
type chatBody struct {
	Model               string
	Messages            []chatMessage
	Stream              bool
	MaxTokens           int64 `json:"max_tokens"`
	MaxCompletionTokens int64 `json:"max_completion_tokens"`
	Conversation        json.RawMessage
	Metadata            struct {
		ChatID string `json:"chat_id"`
	}
	User string
}

type chatMessage struct {
	Role    string
	Content json.RawMessage
}

// routeChat parses a chat-completions request, finds its service and sets what placing the request needs.
func routeChat(ex *Exchange) error {
	if ex.HTTP.Method != http.MethodPost {
		return chestnutroad.Refuse(chestnutroad.BadRequest, "chat completions are requested with POST")
	}
	var body chatBody
	if err := json.Unmarshal(ex.Body, &body); err != nil {
		return chestnutroad.Refuse(chestnutroad.BadRequest, "the body is not a chat-completions request: "+err.Error())
	}
	if body.Model == "" || len(body.Messages) == 0 {
		return chestnutroad.Refuse(chestnutroad.BadRequest, "a chat-completions request needs model and messages")
	}
	route, ok := ex.Directory.RouteModel(body.Model)
	if !ok {
		return chestnutroad.Refuse(chestnutroad.UnknownService, "no service serves the model "+body.Model)
	}
	ex.Route = route
	ex.Chat = &body
	ex.Request.Chat = identifyChat(ex.Team, &body)
	ex.Request.Prompt = chestnutroad.Tokens(len(ex.Body) / bytesPerToken)
	ex.Request.MaxOutput = maxOutput(&body, route.MaxOutput)
	ex.Request.Priority = max(route.Priority, ex.Directory.TeamPriority(ex.Team))
	return nil
}

// maxOutput returns the number of tokens that the request may generate: what it states, or defaultMaxTokens, but no more than
// limit if that is set.
func maxOutput(body *chatBody, limit chestnutroad.Tokens) chestnutroad.Tokens {
	tokens := chestnutroad.Tokens(max(body.MaxTokens, body.MaxCompletionTokens))
	if tokens <= 0 {
		tokens = defaultMaxTokens
	}
	if limit > 0 {
		tokens = min(tokens, limit)
	}
	return tokens
}

// identifyChat returns the identity of a chat within its team. It hashes the explicit id if the body has one, and otherwise
// what stays the same as the chat grows: the user and the messages up to the first one with the role user.
func identifyChat(team chestnutroad.TeamID, body *chatBody) chestnutroad.ChatID {
	hash := xxhash.New()
	writeField(hash, string(team))
	if id := explicitChatID(body); id != "" {
		writeField(hash, "id")
		writeField(hash, id)
		return chestnutroad.ChatID(hash.Sum64())
	}
	writeField(hash, "prefix")
	writeField(hash, body.User)
	for _, message := range body.Messages {
		writeField(hash, message.Role)
		writeField(hash, string(message.Content))
		if message.Role == "user" {
			break
		}
	}
	return chestnutroad.ChatID(hash.Sum64())
}

// explicitChatID returns the chat id in the body, or an empty string: the conversation, which is a string or an object with an
// id, or else the chat_id in the metadata.
func explicitChatID(body *chatBody) string {
	var name string
	if json.Unmarshal(body.Conversation, &name) == nil && name != "" {
		return name
	}
	var object struct{ ID string }
	if json.Unmarshal(body.Conversation, &object) == nil && object.ID != "" {
		return object.ID
	}
	return strings.TrimSpace(body.Metadata.ChatID)
}

// writeField adds a field and a zero byte that separates it from the next field.
func writeField(hash *xxhash.Digest, field string) {
	_, _ = hash.WriteString(field)
	_, _ = hash.Write([]byte{0})
}

// withStreaming returns the body with streaming enabled, so that an interrupted answer can be resumed at any token.
func withStreaming(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}
