package chestnutroad_test

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"github.com/chestnutroad/chestnutroad"
)

// TestPositions guards against positions that change when they are encoded and decoded, and against an order in which a higher
// offset of an earlier era is after a position of a later era.
func TestPositions(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) chestnutroad.Position {
			return chestnutroad.Position{
				Era:    chestnutroad.Era(rapid.Uint64().Draw(t, name+" era")),
				Offset: chestnutroad.Offset(rapid.Int64Min(0).Draw(t, name+" offset")),
			}
		}
		a, b := draw("a"), draw("b")
		if a.Era != b.Era && a.After(b) != (a.Era > b.Era) {
			t.Errorf("%s after %s: %t", a, b, a.After(b))
		}
		if a.Compare(b) != -b.Compare(a) {
			t.Errorf("%s and %s compare inconsistently: %d and %d", a, b, a.Compare(b), b.Compare(a))
		}
		text, err := json.Marshal(a)
		var decoded chestnutroad.Position
		if err == nil {
			err = json.Unmarshal(text, &decoded)
		}
		if err != nil || decoded != a {
			t.Errorf("%s was decoded as %s: %v", a, decoded, err)
		}
	})
}

// TestBadPositions guards against malformed text from another host that is accepted as a position.
func TestBadPositions(t *testing.T) {
	t.Parallel()
	for _, text := range []string{``, `5`, `/`, `1/`, `/1`, `-1/1`, `1/-1`, `1/1/1`, `x/1`} {
		var ps chestnutroad.Position
		if err := ps.UnmarshalText([]byte(text)); err == nil {
			t.Errorf("%q was parsed as %s", text, ps)
		}
	}
}
