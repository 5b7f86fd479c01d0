package replay_test

import (
	"bufio"
	"os"
	"strings"
	"testing"
)

// skipKnownRed skips a test that is listed in KNOWN-RED.txt, and prints its entry. An entry consists of a line with the
// package and the test's full name, and the indented lines after it.
func skipKnownRed(t *testing.T) {
	t.Helper()
	if entry := knownRed(t, t.Name()); entry != "" {
		t.Skipf("KNOWN-RED.txt: %s", entry)
	}
}

// knownRed returns the test's entry in KNOWN-RED.txt, or an empty string.
func knownRed(t *testing.T, name string) string {
	t.Helper()
	file, err := os.Open("../../KNOWN-RED.txt")
	if os.IsNotExist(err) {
		return ""
	}
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var entry []string
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		line := lines.Text()
		switch {
		case line == "internal/replay "+name:
			entry = append(entry, line)
		case len(entry) > 0 && strings.HasPrefix(line, " "):
			entry = append(entry, strings.TrimSpace(line))
		case len(entry) > 0:
			return strings.Join(entry, "\n")
		}
	}
	return strings.Join(entry, "\n")
}
