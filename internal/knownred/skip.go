package knownred

import (
	"os"
	"strings"
	"testing"
)

// path is the list of known failures as seen from a package two folders below the root, where all tests that use it are.
const path = "../../KNOWN-RED.txt"

// Skip skips the test of a package if KNOWN-RED.txt lists it, and prints its entry. An entry is a paragraph that starts with
// the package and the test's full name.
func Skip(t *testing.T, name string) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	for entry := range strings.SplitSeq(strings.TrimSpace(string(data)), "\n\n") {
		if heading, _, _ := strings.Cut(entry, "\n"); heading == name+" "+t.Name() {
			t.Skipf("KNOWN-RED.txt: %s", entry)
		}
	}
}
