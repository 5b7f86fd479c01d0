package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// TokenHash is the SHA-256 hash of a bearer token; the token itself stands in no file.
type TokenHash [sha256.Size]byte

const tokenHashPrefix = "sha256:"

// HashToken returns the hash under which settings know the token.
func HashToken(token string) TokenHash { return sha256.Sum256([]byte(token)) }

// String returns the hash as it is written in a settings file.
func (th TokenHash) String() string { return tokenHashPrefix + hex.EncodeToString(th[:]) }

// parseTokenHash returns the hash of a text such as "sha256:9f86...".
func parseTokenHash(text string) (TokenHash, bool) {
	var th TokenHash
	digits, found := strings.CutPrefix(text, tokenHashPrefix)
	raw, err := hex.DecodeString(digits)
	if !found || err != nil || len(raw) != len(th) {
		return th, false
	}
	copy(th[:], raw)
	return th, true
}

func checkTokenHash(text string) string {
	if _, good := parseTokenHash(text); !good {
		return strconv.Quote(text) + ` is not a token hash; it is "sha256:" and 64 hexadecimal digits`
	}
	return ""
}
