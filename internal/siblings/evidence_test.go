package siblings

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/relay"
)

// TestEvidence guards against evidence about prompt parts that is decoded with other contents, and against messages of hosts that
// send none or a part of an item.
func TestEvidence(t *testing.T) {
	t.Parallel()
	compressor, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	socket := &Socket{compressor: compressor, decompressor: flate.NewReader(bytes.NewReader(nil))}
	want := []chestnutroad.CrashEvidence{{Subject: 1<<63 + 7, Crash: 1<<31 + 3, Age: 40 * time.Minute}, {Subject: 9, Age: time.Millisecond}}
	encoded, err := socket.encode(&relay.Message{Kind: relay.Report, From: "h", Evidence: want})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name string
		text string
		want []chestnutroad.CrashEvidence
	}{
		{"evidence", string(encoded), want},
		{"a host of an earlier version", `{"Kind":"Report","From":"h","Position":"0/1"}`, nil},
		{"an incomplete item", `{"Kind":"Report","From":"h","Position":"0/1","Crashes":"AAAAAAAAAAAAAAAAAAA="}`, nil},
	}
	for _, tc := range cases {
		message, err := socket.decode([]byte(tc.text))
		if err != nil || !slices.Equal(message.Evidence, tc.want) {
			t.Errorf("%s: got %+v, want %+v: %v", tc.name, message, tc.want, err)
		}
	}
}
