package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// bytesPerToken is the customary estimate for a prompt whose tokeniser is not known here.
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

// routeChat parses a chat request and sets what routing needs of it.
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
	route, known := ex.Directory.RouteModel(body.Model)
	if !known {
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

// maxOutput returns the most tokens that the request may generate.
func maxOutput(body *chatBody, limit chestnutroad.Tokens) chestnutroad.Tokens {
	asked := chestnutroad.Tokens(max(body.MaxTokens, body.MaxCompletionTokens))
	if asked <= 0 {
		asked = defaultMaxTokens
	}
	if limit > 0 {
		asked = min(asked, limit)
	}
	return asked
}

// identifyChat returns the identity of a chat within its team: the explicit id where the body has one, otherwise a hash
// of what stays the same as the chat grows.
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

// explicitChatID returns the id that the caller states, as a string or as an object with an id.
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

// writeField adds a field with its end marked, so that two fields can't run into each other.
func writeField(hash *xxhash.Digest, field string) {
	_, _ = hash.WriteString(field)
	_, _ = hash.Write([]byte{0})
}

// streamedBody returns the body with streaming asked for, so that an answer can be resumed at any token.
func streamedBody(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}
