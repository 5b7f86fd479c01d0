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

// Compressed is a text that is compressed once, when its data is first needed.
//
// A configuration of 1,850 rules has about 500 KB, and a relay sends each version to about 30 hosts, most of which have a
// link of 10 Mbit/s. Three versions a second without compression would exceed the relay's own 200 Mbit/s.
type Compressed struct {
	text func() []byte
	once sync.Once
	data []byte
}

// NewCompressed returns the compressed form of the text.
func NewCompressed(text []byte) *Compressed { return &Compressed{text: func() []byte { return text }} }

// NewCompressedRecords returns the compressed form of the records. Those of 3,000 targets have 1.2 MB, and a relay sends them
// to every host when all hosts start.
func NewCompressedRecords(records []chestnutroad.KeyedRecord) *Compressed {
	return &Compressed{text: func() []byte {
		// Records contain only strings and bytes, whose encoding can't fail.
		text, _ := json.Marshal(records)
		return text
	}}
}

// DecompressRecords returns the records whose compressed form is data.
func DecompressRecords(data []byte) ([]chestnutroad.KeyedRecord, error) {
	text, err := Decompress(data)
	if err != nil {
		return nil, err
	}
	var records []chestnutroad.KeyedRecord
	if err := json.Unmarshal(text, &records); err != nil {
		return nil, errors.Wrap(err, "decode compressed records")
	}
	return records, nil
}

// Data returns the text compressed with gzip.
func (cm *Compressed) Data() []byte {
	cm.once.Do(func() {
		var buffer bytes.Buffer
		writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
		if err != nil {
			return
		}
		// Writes to a buffer don't fail.
		_, _ = writer.Write(cm.text())
		_ = writer.Close()
		cm.data = buffer.Bytes()
	})
	return cm.data
}

// Decompress returns the text whose compressed form is data; a text of more than maxStateSize bytes is an error.
func Decompress(data []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "open compressed text")
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxStateSize+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress text")
	}
	if len(text) > maxStateSize {
		return nil, errors.Newf("decompressed text exceeds %d bytes", maxStateSize)
	}
	return text, nil
}
