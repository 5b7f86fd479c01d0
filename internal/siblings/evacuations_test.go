package siblings

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/relay"
)

// TestNoEvacuations guards against messages that grow on installations without evacuations.
func TestNoEvacuations(t *testing.T) {
	t.Parallel()
	compressor, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := (&Socket{compressor: compressor}).encode(&relay.Message{Kind: relay.Report, From: "h", DataCentre: "dc"})
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"Kind":"Report","From":"h","DataCentre":"dc","Version":0,"Position":"0/0","Fresh":false,"Counts":null}`
	if string(encoded) != want {
		t.Errorf("got %s, want %s", encoded, want)
	}
	state, err := json.Marshal(&State{})
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Contains(state, []byte("Evacuations")) {
		t.Errorf("got %s", state)
	}
}
