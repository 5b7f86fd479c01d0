package chestnutroad_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/chestnutroad/chestnutroad"
)

// TestKindTable guards against a kind that is listed twice, a kind whose status differs from the table in docs/design.md, and a
// kind that may be sent to another shard although it must not be retried.
func TestKindTable(t *testing.T) {
	page, err := os.ReadFile("docs/design.md")
	if err != nil {
		t.Fatal(err)
	}
	seen := map[chestnutroad.Kind]bool{}
	for _, answer := range chestnutroad.Kinds() {
		if seen[answer.Kind] {
			t.Errorf("%s is listed twice", answer.Kind)
		}
		seen[answer.Kind] = true
		if row := fmt.Sprintf("| `%s` | %d |", answer.Kind, answer.Status); !strings.Contains(string(page), row) {
			t.Errorf("docs/design.md has no row %q", row)
		}
		if answer.Elsewhere && !answer.Retry {
			t.Errorf("%s has Elsewhere but not Retry", answer.Kind)
		}
	}
}
