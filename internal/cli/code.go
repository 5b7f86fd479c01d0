package cli

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// Code is a process exit code.
type Code int

// The exit codes. codeTable describes them in the help.
const (
	CodeOK          Code = 0
	CodeFinding     Code = 1
	CodeUsage       Code = 2
	CodeUnreachable Code = 3
	CodeUnavailable Code = 4
	CodeFailed      Code = 5
)

var codeTable = []struct {
	Code Code
	Help string
}{
	{CodeOK, "done, nothing found"},
	{CodeFinding, "a finding: faults in settings, a difference, a refusal, a host that is not ready"},
	{CodeUsage, "wrong usage"},
	{CodeUnreachable, "a host, the log or a file could not be reached, or the result is unknown"},
	{CodeUnavailable, "the verb is not available in this build"},
	{CodeFailed, "any other failure"},
}

// writeCodes prints the exit codes for the help.
func writeCodes(writer io.Writer) {
	printf(writer, "\nExit codes:\n")
	for _, entry := range codeTable {
		printf(writer, "  %d  %s\n", entry.Code, entry.Help)
	}
}

// exitError attaches an exit code to an error.
type exitError struct {
	code Code
	err  error
}

// Error returns the message of the wrapped error.
func (ee *exitError) Error() string { return ee.err.Error() }

// Unwrap returns the wrapped error.
func (ee *exitError) Unwrap() error { return ee.err }

// Exit wraps err so that the command prints it and exits with the code.
func Exit(code Code, err error) error { return &exitError{code: code, err: err} }

// errFinding makes the command exit with CodeFinding. It is not printed, since the verb has printed the finding.
var errFinding = errors.New("finding")

// exitCodeOf returns the exit code for the error of a verb. Faults in settings are a finding.
func exitCodeOf(err error) Code {
	var coded *exitError
	var faults settings.Errors
	switch {
	case err == nil:
		return CodeOK
	case errors.Is(err, errFinding):
		return CodeFinding
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &faults):
		return CodeFinding
	default:
		return CodeFailed
	}
}
