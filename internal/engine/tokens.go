package engine

import (
	"encoding/json"
	"fmt"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/target"
)

var errNotJSON = fmt.Errorf("%w: an event is not a JSON object", target.ErrBadAnswer)

// countTokens returns the number of tokens in a streamed event: 1 if the delta of the first choice has content, otherwise 0.
//
// It runs for each token of each stream and therefore scans the JSON without allocating.
func countTokens(data []byte) (chestnutroad.Tokens, error) {
	if !json.Valid(data) || data[skipSpace(data, 0)] != '{' {
		return 0, errNotJSON
	}
	if member(data, "error") != nil {
		return 0, errErrorEvent
	}
	content := member(member(firstElement(member(data, "choices")), "delta"), "content")
	if len(content) <= len(`""`) || content[0] != '"' {
		return 0, nil
	}
	return 1, nil
}

// member returns the value of the named member of an object in valid JSON, or nil if the member is absent or null.
func member(object []byte, name string) []byte {
	at := skipSpace(object, 0)
	if at >= len(object) || object[at] != '{' {
		return nil
	}
	at = skipSpace(object, at+1)
	for at < len(object) && object[at] == '"' {
		keyEnd := skipValue(object, at)
		key := object[at+1 : keyEnd-1]
		start := skipSpace(object, skipSpace(object, keyEnd)+1)
		end := skipValue(object, start)
		if string(key) == name {
			return notNull(object[start:end])
		}
		// The next byte is a comma or the closing brace.
		at = skipSpace(object, skipSpace(object, end)+1)
	}
	return nil
}

func notNull(value []byte) []byte {
	if string(value) == "null" {
		return nil
	}
	return value
}

// firstElement returns the first element of an array in valid JSON, or nil if the array is empty or the value is no array.
func firstElement(array []byte) []byte {
	if len(array) == 0 || array[0] != '[' {
		return nil
	}
	start := skipSpace(array, 1)
	if array[start] == ']' {
		return nil
	}
	return array[start:skipValue(array, start)]
}

// skipSpace returns the position of the first byte that is not JSON white space.
func skipSpace(data []byte, at int) int {
	for at < len(data) && (data[at] == ' ' || data[at] == '\t' || data[at] == '\n' || data[at] == '\r') {
		at++
	}
	return at
}

// skipValue returns the position after the JSON value that starts at the given position.
func skipValue(data []byte, at int) int {
	depth := 0
	for at < len(data) {
		switch data[at] {
		case '"':
			at = skipString(data, at)
			if depth == 0 {
				return at
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return at
			}
			depth--
			if depth == 0 {
				return at + 1
			}
		case ',', ' ', '\t', '\n', '\r', ':':
			if depth == 0 {
				return at
			}
		}
		at++
	}
	return at
}

// skipString returns the position after the closing quote of the string that starts at the given position.
func skipString(data []byte, at int) int {
	for at++; at < len(data); at++ {
		switch data[at] {
		case '\\':
			at++
		case '"':
			return at + 1
		}
	}
	return at
}
