package engine

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	chestnutroad "github.com/chestnutroad/chestnutroad"
)

const (
	// A generated token is " t" followed by a number below tokenRange in base tokenBase.
	tokenBase  = 36
	tokenRange = tokenBase * tokenBase * tokenBase
	// bytesPerToken is the typical number of bytes per token of text, from which the tokens of a prompt are estimated.
	bytesPerToken = 4
)

// chatRequest holds the fields of a chat completion request that the engine uses.
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

// prompt holds the values that determine the tokens of an answer, and the number of prompt tokens.
type prompt struct {
	digest uint64
	tokens chestnutroad.Tokens
	output chestnutroad.Tokens
}

// prompt returns the prompt of the request; output is the number of tokens to generate if the request sets no limit.
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

// token returns the generated token at the index.
func (pr prompt) token(index chestnutroad.Tokens) string {
	mixed := xxhash.Sum64String(strconv.FormatUint(pr.digest+uint64(index), tokenBase))
	return " t" + strconv.FormatUint(mixed%tokenRange, tokenBase)
}

// ExpectedTokens returns the tokens of the answer to the body of a chat request, which are the same from every engine; output is
// the number of tokens to generate if the request sets no limit.
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
