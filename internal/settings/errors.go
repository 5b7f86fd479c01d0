package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Error is an error in a settings file, with its position.
type Error struct {
	File    string
	Line    int
	Key     string
	Message string
}

// Error returns the error in the form "file:line: key: message".
func (er Error) Error() string {
	if er.Key == "" {
		return fmt.Sprintf("%s:%d: %s", er.File, er.Line, er.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", er.File, er.Line, er.Key, er.Message)
}

// Errors holds all errors in a set of settings files.
type Errors []Error

// Error returns the errors, one on each line.
func (ers Errors) Error() string {
	lines := make([]string, 0, len(ers))
	for _, er := range ers {
		lines = append(lines, er.Error())
	}
	return strings.Join(lines, "\n")
}

// report collects errors. An error that is found both in a file and in its merge with the base is kept once.
type report struct {
	seen      map[Error]bool
	errors    Errors
	fileOrder map[string]int
}

func newReport(files []File) *report {
	rp := &report{seen: map[Error]bool{}, fileOrder: map[string]int{}}
	for index, fl := range files {
		rp.fileOrder[fl.Name] = index
	}
	return rp
}

func (rp *report) addf(file string, line int, key, format string, arguments ...any) {
	er := Error{File: file, Line: line, Key: key, Message: fmt.Sprintf(format, arguments...)}
	if rp.seen[er] {
		return
	}
	rp.seen[er] = true
	rp.errors = append(rp.errors, er)
}

// err returns the errors sorted by file and line, or nil if there is none.
func (rp *report) err() error {
	if len(rp.errors) == 0 {
		return nil
	}
	slices.SortStableFunc(rp.errors, func(a, b Error) int {
		return cmp.Or(
			cmp.Compare(rp.fileOrder[a.File], rp.fileOrder[b.File]),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.Message, b.Message),
		)
	})
	return rp.errors
}
