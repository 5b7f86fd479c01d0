package engine

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	chestnutroad "github.com/chestnutroad/chestnutroad"
)

// The encoding of generated tokens: a space and a letter followed by a number in this base and range.
const (
	tokenBase  = 36
	tokenRange = tokenBase * tokenBase * tokenBase
	// bytesPerToken is the usual ratio for text.
	bytesPerToken = 4
)

// chatRequest is the part of a chat-completions request that the engine understands.
type chatRequest struct {
	Model               string              `json:"model"`
	Messages            []message           `json:"messages"`
	MaxTokens           chestnutroad.Tokens `json:"max_tokens"`
	MaxCompletionTokens chestnutroad.Tokens `json:"max_completion_tokens"`
	Stream              bool                `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// prompt is what the answer is a function of.
type prompt struct {
	digest uint64
	tokens chestnutroad.Tokens
	output chestnutroad.Tokens
}

func (cr *chatRequest) prompt(output chestnutroad.Tokens) prompt {
	pr := prompt{output: output}
	if limit := max(cr.MaxTokens, cr.MaxCompletionTokens); limit > 0 {
		pr.output = limit
	}
	hash := xxhash.New()
	for _, ms := range cr.Messages {
		_, _ = hash.WriteString(ms.Role + "\n")
		_, _ = hash.Write(ms.Content)
		pr.tokens += chestnutroad.Tokens(len(ms.Content)/bytesPerToken + 1)
	}
	pr.digest = hash.Sum64()
	return pr
}

// token returns the answer's token at the index.
func (pr prompt) token(index chestnutroad.Tokens) string {
	mixed := xxhash.Sum64String(strconv.FormatUint(pr.digest+uint64(index), tokenBase))
	return " t" + strconv.FormatUint(mixed%tokenRange, tokenBase)
}

// ExpectedTokens returns the tokens that every engine answers to the body of a chat request; output is the number of tokens
// when the request sets no limit.
func ExpectedTokens(body []byte, output chestnutroad.Tokens) ([]string, error) {
	var request chatRequest
	err := json.Unmarshal(body, &request)
	if err != nil {
		return nil, fmt.Errorf("decode chat request: %w", err)
	}
	pr := request.prompt(output)
	tokens := make([]string, pr.output)
	for index := range tokens {
		tokens[index] = pr.token(chestnutroad.Tokens(index))
	}
	return tokens, nil
}
