package siblings

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

// Compressed is a text that is compressed when it is first sent.
//
// A configuration of 1,850 rules takes some 500 KB. A relay sends each version to some 30 hosts, of which most have 10 Mbit/s:
// whole, a version each third of a second is more than the relay's 200 Mbit/s carry.
type Compressed struct {
	text func() []byte
	once sync.Once
	data []byte
}

// NewCompressed returns a text that can be sent packed.
func NewCompressed(text []byte) *Compressed { return &Compressed{text: func() []byte { return text }} }

// NewCompressedRecords returns records that can be sent packed: those of 3,000 targets are 1.2 MB, and when all hosts start a
// relay sends them to each.
func NewCompressedRecords(records []chestnutroad.KeyedRecord) *Compressed {
	return &Compressed{text: func() []byte {
		// Records hold texts and bytes only, which are always encoded.
		text, _ := json.Marshal(records)
		return text
	}}
}

// DecompressRecords returns the records that were packed into data.
func DecompressRecords(data []byte) ([]chestnutroad.KeyedRecord, error) {
	text, err := Decompress(data)
	if err != nil {
		return nil, err
	}
	var records []chestnutroad.KeyedRecord
	if err := json.Unmarshal(text, &records); err != nil {
		return nil, errors.Wrap(err, "packed records")
	}
	return records, nil
}

// Data returns the packed text.
func (pk *Compressed) Data() []byte {
	pk.once.Do(func() {
		var buffer bytes.Buffer
		writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
		if err != nil {
			return
		}
		// A buffer takes all writes.
		_, _ = writer.Write(pk.text())
		_ = writer.Close()
		pk.data = buffer.Bytes()
	})
	return pk.data
}

// Decompress returns the text that was packed into data.
func Decompress(data []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "packed text")
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxState+1))
	if err != nil {
		return nil, errors.Wrap(err, "packed text")
	}
	if len(text) > maxState {
		return nil, errors.Newf("the packed text is over %d bytes", maxState)
	}
	return text, nil
}
