package siblings

import (
	"bytes"
	"compress/flate"
	"io"
	"reflect"
	"testing"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/relay"
)

// FuzzDatagrams guards against datagrams of other senders that crash the process or use much memory, and against a message
// that changes when it is encoded and decoded again.
func FuzzDatagrams(f *testing.F) {
	newSocket := func() *Socket {
		compressor, err := flate.NewWriter(io.Discard, flate.BestSpeed)
		if err != nil {
			f.Fatal(err)
		}
		return &Socket{compressor: compressor, decompressor: flate.NewReader(bytes.NewReader(nil))}
	}
	valid, err := newSocket().encode(&relay.Message{
		Kind: relay.Report, From: "h", DataCentre: "dc", List: 1 << 63, Counts: make([]byte, 3*minCompressSize), Notices: []relay.Notice{1},
		Evacuations: &chestnutroad.EvacuationList{DataCentres: []chestnutroad.DataCentreID{"dc"}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	for _, seed := range []string{
		``, `{}`, `null`, `[]`, `{"Size":-1}`, `{"Size":65537,"Counts":"AAAA"}`, `{"Size":9,"Counts":"AAAA"}`,
		`{"Position":"5"}`, `{"Position":"1/-1"}`, `{"Position":"18446744073709551615/9223372036854775807"}`, `{"Evacuated":"AA=="}`,
		`{"Evacuated":"AAUIcG96"}`, `{"Evacuated":"AAUCYQNi"}`, `{"Evacuated":[]}`, `{"Evacuated":"gICAgICAgICAgIA="}`, `{"Parts":"AAAA"}`, `{"Crashes":"AAAA"}`,
		`{"Kind":"Beacon","From":"h","List":18446744073709551616}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		socket := newSocket()
		message, err := socket.decode(data)
		if err != nil {
			return
		}
		if len(message.Counts) > maxCounts || len(message.Notices) > maxCounts {
			t.Errorf("decoded %d counts and %d notices", len(message.Counts), len(message.Notices))
		}
		encoded, err := socket.encode(message)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := socket.decode(encoded)
		if err != nil || decoded.Position != message.Position || decoded.List != message.List || !bytes.Equal(decoded.Counts, message.Counts) ||
			!reflect.DeepEqual(decoded.Evacuations, message.Evacuations) {
			t.Errorf("encoded %+v, decoded %+v: %v", message, decoded, err)
		}
	})
}
