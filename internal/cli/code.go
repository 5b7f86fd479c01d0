package cli

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// Code is an exit code of the command.
type Code int

// The exit codes; codeTable holds their help.
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

func writeCodes(writer io.Writer) {
	printf(writer, "\nExit codes:\n")
	for _, entry := range codeTable {
		printf(writer, "  %d  %s\n", entry.Code, entry.Help)
	}
}

// codeError is an error that ends the command with a certain code.
type codeError struct {
	code Code
	err  error
}

// Error returns the message of the error inside.
func (ce *codeError) Error() string { return ce.err.Error() }

// Unwrap returns the error inside.
func (ce *codeError) Unwrap() error { return ce.err }

// Exit returns an error that ends the command with the code and prints err.
func Exit(code Code, err error) error { return &codeError{code: code, err: err} }

// errFinding ends the command with CodeFinding after the finding itself has been printed.
var errFinding = errors.New("finding")

// codeOf returns the exit code for an error of a verb.
func codeOf(err error) Code {
	var coded *codeError
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
