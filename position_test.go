package chestnutroad_test

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"github.com/chestnutroad/chestnutroad"
)

// TestPositions guards against positions that change between hosts, and against an order in which a higher offset of an
// earlier era comes later.
func TestPositions(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) chestnutroad.Position {
			return chestnutroad.Position{
				Era:    chestnutroad.Era(rapid.Uint64().Draw(t, name+" era")),
				Offset: chestnutroad.Offset(rapid.Int64Min(0).Draw(t, name+" offset")),
			}
		}
		one, two := draw("one"), draw("two")
		if one.Era != two.Era && one.After(two) != (one.Era > two.Era) {
			t.Errorf("%s after %s: %t", one, two, one.After(two))
		}
		if one.Compare(two) != -two.Compare(one) {
			t.Errorf("%s and %s have no order", one, two)
		}
		text, err := json.Marshal(one)
		var read chestnutroad.Position
		if err == nil {
			err = json.Unmarshal(text, &read)
		}
		if err != nil || read != one {
			t.Errorf("%s became %s: %v", one, read, err)
		}
	})
}

// TestBadPositions guards against bytes of another host that pass for a position.
func TestBadPositions(t *testing.T) {
	t.Parallel()
	for _, text := range []string{``, `5`, `/`, `1/`, `/1`, `-1/1`, `1/-1`, `1/1/1`, `x/1`} {
		var ps chestnutroad.Position
		if err := ps.UnmarshalText([]byte(text)); err == nil {
			t.Errorf("%q was read as %s", text, ps)
		}
	}
}
