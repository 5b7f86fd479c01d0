package configcheck

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// Severity orders findings; the most severe comes first.
type Severity string

// The severities.
const (
	// Error is a fault for which the configuration should not be sent.
	Error Severity = "error"
	// Warning is a part of the configuration that is allowed but has no effect, or an unlikely one.
	Warning Severity = "warning"
	// Change is a difference from the version in force.
	Change Severity = "change"
)

var severities = []Severity{Error, Warning, Change}

// Finding is one fault, contradiction or change of a configuration.
type Finding struct {
	Severity Severity
	// Check is the name of the check that found it.
	Check string
	// Path names the field in the operators' JSON document.
	Path string
	// Message states what is wrong and what follows from it.
	Message string
}

// String returns the finding as one line.
func (fd Finding) String() string { return fmt.Sprintf("%s: %s: %s", fd.Severity, fd.Path, fd.Message) }

// HasErrors reports whether one of the findings is an Error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(fd Finding) bool { return fd.Severity == Error })
}

// sortDigits is the number of digits of the largest version.
const sortDigits = 20

var digits = regexp.MustCompile(`\d+`)

// sortKey pads the numbers of a path, so that routes[2] comes before routes[10].
func sortKey(path string) string {
	return digits.ReplaceAllStringFunc(path, func(text string) string {
		return strings.Repeat("0", max(0, sortDigits-len(text))) + text
	})
}

// Sort sorts findings by severity, path and message, and returns them.
func Sort(findings []Finding) []Finding {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(slices.Index(severities, a.Severity), slices.Index(severities, b.Severity)),
			cmp.Compare(sortKey(a.Path), sortKey(b.Path)), cmp.Compare(a.Message, b.Message),
		)
	})
	return findings
}

// reporter collects the findings of a check.
type reporter struct {
	severity Severity
	check    string
	findings []Finding
}

func (rp *reporter) addf(path, format string, arguments ...any) {
	rp.findings = append(rp.findings, Finding{rp.severity, rp.check, path, fmt.Sprintf(format, arguments...)})
}
