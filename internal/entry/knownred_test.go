package entry_test

import (
	"os"
	"strings"
	"testing"
)

// skipKnownRed skips a test that KNOWN-RED.txt lists, and prints its entry.
func skipKnownRed(t *testing.T) {
	t.Helper()
	data, err := os.ReadFile("../../KNOWN-RED.txt")
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	for entry := range strings.SplitSeq(string(data), "\n\n") {
		if heading, _, _ := strings.Cut(entry, "\n"); heading == "internal/entry "+t.Name() {
			t.Skipf("KNOWN-RED.txt: %s", entry)
		}
	}
}
