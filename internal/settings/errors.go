package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Error is one fault of a settings file.
type Error struct {
	File    string
	Line    int
	Key     string
	Message string
}

// Error returns the fault as file:line: key: message.
func (er Error) Error() string {
	if er.Key == "" {
		return fmt.Sprintf("%s:%d: %s", er.File, er.Line, er.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", er.File, er.Line, er.Key, er.Message)
}

// Errors lists all faults of a set of files.
type Errors []Error

// Error returns one fault a line.
func (ers Errors) Error() string {
	lines := make([]string, 0, len(ers))
	for _, er := range ers {
		lines = append(lines, er.Error())
	}
	return strings.Join(lines, "\n")
}

// report collects faults; the same fault seen in a file and in its merge with the base is kept once.
type report struct {
	seen   map[Error]bool
	errors Errors
	fileOrder  map[string]int
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

// err returns the faults in the order of the files and their lines, or nil when there is none.
func (rp *report) err() error {
	if len(rp.errors) == 0 {
		return nil
	}
	slices.SortStableFunc(rp.errors, func(one, two Error) int {
		return cmp.Or(
			cmp.Compare(rp.fileOrder[one.File], rp.fileOrder[two.File]),
			cmp.Compare(one.Line, two.Line),
			cmp.Compare(one.Key, two.Key),
			cmp.Compare(one.Message, two.Message),
		)
	})
	return rp.errors
}
