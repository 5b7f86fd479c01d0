package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// TokenHash is the SHA-256 hash of a bearer token. Settings files contain only hashes, not tokens.
type TokenHash [sha256.Size]byte

const tokenHashPrefix = "sha256:"

// HashToken returns the hash of a bearer token.
func HashToken(token string) TokenHash { return sha256.Sum256([]byte(token)) }

// String returns the hash in the form of a settings file, such as "sha256:9f86...".
func (th TokenHash) String() string { return tokenHashPrefix + hex.EncodeToString(th[:]) }

// parseTokenHash parses a hash such as "sha256:9f86...".
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

// checkTokenHash returns what is wrong with a token hash, or an empty string.
func checkTokenHash(text string) string {
	if _, ok := parseTokenHash(text); !ok {
		return strconv.Quote(text) + ` is not a token hash; it is "sha256:" and 64 hexadecimal digits`
	}
	return ""
}
