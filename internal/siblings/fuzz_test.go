package siblings

import (
	"bytes"
	"compress/flate"
	"io"
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/relay"
)

// FuzzDatagrams guards against datagrams of strangers that end the process or take much memory, and against a message that
// is not read as it was sent.
func FuzzDatagrams(f *testing.F) {
	newSocket := func() *Socket {
		packer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
		if err != nil {
			f.Fatal(err)
		}
		return &Socket{packer: packer, unpacker: flate.NewReader(bytes.NewReader(nil))}
	}
	sound, err := newSocket().encode(&relay.Message{
		Kind: relay.Report, From: "h", DataCentre: "dc", List: 1 << 63, Counts: make([]byte, 3*packFrom), Notices: []relay.Notice{1},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sound)
	for _, seed := range []string{
		``, `{}`, `null`, `[]`, `{"Size":-1}`, `{"Size":65537,"Counts":"AAAA"}`, `{"Size":9,"Counts":"AAAA"}`,
		`{"Position":"5"}`, `{"Position":"1/-1"}`, `{"Position":"18446744073709551615/9223372036854775807"}`, `{"Parts":"AAAA"}`,
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
			t.Errorf("%d counts and %d notices", len(message.Counts), len(message.Notices))
		}
		text, err := socket.encode(message)
		if err != nil {
			t.Fatal(err)
		}
		again, err := socket.decode(text)
		if err != nil || again.Position != message.Position || again.List != message.List || !bytes.Equal(again.Counts, message.Counts) {
			t.Errorf("%+v became %+v: %v", message, again, err)
		}
	})
}
