package operating

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// operationsWanted holds, for each shell block of docs/OPERATIONS.md in order, texts that its output must have.
var operationsWanted = [][]string{
	{"Outcome=NoTarget", "not sent: connect to the target"},
	{"i-a526fabc6f"},
	{"Outcome=StreamBroken", "the answer is not complete"},
	{"0babef509e42e29d"},
	{"Outcome=TargetFailed", "i-f8e1216d29", "i-60b5b405b2"},
	{"Outcome=DeadlineExceeded", "1100ms"},
	{"configuration in force"},
}

// TestOperationsPage guards against a command on the page for engineers on call that does not lead to the cause.
func TestOperationsPage(t *testing.T) {
	t.Parallel()
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	blocks := shellBlocks(string(page))
	if len(blocks) != len(operationsWanted) {
		t.Fatalf("the page has %d shell blocks, the test knows %d", len(blocks), len(operationsWanted))
	}
	logs, err := filepath.Abs("testdata")
	if err != nil {
		t.Fatal(err)
	}
	environment := append(prepare(t), "LOGS="+logs)
	for index, block := range blocks {
		output := runBlock(t, t.TempDir(), environment, block)
		for _, text := range operationsWanted[index] {
			if !strings.Contains(output, text) {
				t.Errorf("%s\ndoes not show %q:\n%s", block, text, output)
			}
		}
	}
}
