package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// lineLimit is the maximum length of a line in bytes; the header of a site of the planned size lists 340 hosts and 600
// targets.
const lineLimit = 1 << 20

// Read reads and validates a whole trace. Errors start with the number of the line.
func Read(source io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(source)
	lines.Buffer(make([]byte, 0, 64<<10), lineLimit)
	tr := &Trace{}
	ck := newChecker()
	for lines.Scan() {
		ck.line++
		if err := tr.readLine(lines.Bytes(), ck); err != nil {
			return nil, errors.Wrapf(err, "line %d", ck.line)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrapf(err, "line %d", ck.line+1)
	}
	if ck.line == 0 {
		return nil, errors.New("line 1: the trace is empty; it must start with a header")
	}
	return tr, nil
}

func (tr *Trace) readLine(line []byte, ck *checker) error {
	if ck.line == 1 {
		if err := decode(line, &tr.Header); err != nil {
			return errors.Wrap(err, "header")
		}
		return ck.checkHeader(&tr.Header)
	}
	var ev Event
	if err := decode(line, &ev); err != nil {
		return err
	}
	if err := ck.checkEvent(&ev); err != nil {
		return err
	}
	tr.Events = append(tr.Events, ev)
	return nil
}

// decode decodes one JSON value. It rejects unknown keys, so that a misspelt key is not read as a zero value.
func decode(line []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if decoder.More() {
		return errors.New("more than one JSON value")
	}
	return nil
}
