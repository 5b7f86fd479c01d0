package pool

import (
	"bytes"
	"encoding/gob"
	"encoding/hex"
	"reflect"
	"strings"
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/golden"
)

// TestWrittenForms guards against a renamed field that changes the state that an owner gives its successor: gob writes the
// names of fields, and leaves out what the reader does not know.
func TestWrittenForms(t *testing.T) {
	t.Parallel()
	state := new(handover)
	golden.Fill(t, state)
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(state); err != nil {
		t.Fatal(err)
	}
	text := golden.Text(t, "Handover.hex", hex.Dump(buffer.Bytes()))
	var data []byte
	for line := range strings.Lines(text) {
		part, err := hex.DecodeString(strings.ReplaceAll(line[10:58], " ", ""))
		if err != nil {
			t.Fatal(err)
		}
		data = append(data, part...)
	}
	read := new(handover)
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(read); err != nil || !reflect.DeepEqual(read, state) {
		t.Errorf("read %+v, %v; want %+v", read, err, state)
	}
}
