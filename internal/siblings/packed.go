package siblings

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// Packed is a text that is compressed when it is first sent.
//
// A configuration of 1,850 rules takes some 500 KB. A relay sends each version to some 30 hosts, of which most have 10 Mbit/s:
// whole, a version each third of a second is more than the relay's 200 Mbit/s carry.
type Packed struct {
	text []byte
	once sync.Once
	data []byte
}

// NewPacked returns a text that can be sent packed.
func NewPacked(text []byte) *Packed { return &Packed{text: text} }

// Data returns the packed text.
func (pk *Packed) Data() []byte {
	pk.once.Do(func() {
		var buffer bytes.Buffer
		writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
		if err != nil {
			return
		}
		// A buffer takes all writes.
		_, _ = writer.Write(pk.text)
		_ = writer.Close()
		pk.data = buffer.Bytes()
	})
	return pk.data
}

// Unpack returns the text that was packed into data.
func Unpack(data []byte) ([]byte, error) {
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
