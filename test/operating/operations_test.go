package operating

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// wantOperationsOutput lists, for each shell block of docs/OPERATIONS.md in order, texts that its output must contain.
var wantOperationsOutput = [][]string{
	{"Outcome=NoTarget", "not sent: connect to the target"},
	{"i-a526fabc6f"},
	{"Outcome=StreamBroken", "the answer is not complete"},
	{"0babef509e42e29d"},
	{"Outcome=TargetFailed", "i-f8e1216d29", "i-60b5b405b2"},
	{"Outcome=DeadlineExceeded", "1100ms"},
	{"configuration in force"},
	{"warning: services[1]", "change: tenants[\"sales\"].api_keys: 2 -> 3 keys"},
}

// TestOperationsPage guards against commands in docs/OPERATIONS.md, the page for engineers on call, that do not show the cause of
// a failure. It runs them on the logs in testdata, and on the configurations of the command's own test.
func TestOperationsPage(t *testing.T) {
	t.Parallel()
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	blocks := shellBlocks(string(page))
	if len(blocks) != len(wantOperationsOutput) {
		t.Fatalf("the page has %d shell blocks, the test expects %d", len(blocks), len(wantOperationsOutput))
	}
	logs, err := filepath.Abs("testdata")
	if err != nil {
		t.Fatal(err)
	}
	configurations, err := filepath.Abs("../../internal/cli/testdata/input")
	if err != nil {
		t.Fatal(err)
	}
	environment := append(buildEnvironment(t), "LOGS="+logs, "CONFIGURATIONS="+configurations)
	for index, block := range blocks {
		output := runBlock(t, t.TempDir(), environment, block)
		for _, text := range wantOperationsOutput[index] {
			if !strings.Contains(output, text) {
				t.Errorf("the output of\n%s\ndoes not contain %q:\n%s", block, text, output)
			}
		}
	}
}
