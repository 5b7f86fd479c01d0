package siblings

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"testing"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/evacuation"
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

// TestEvacuations guards against a list that changes on its way, or takes a large part of the 5 KB a second of a host: at 130 hosts each
// sends 13 messages a second on average.
func TestEvacuations(t *testing.T) {
	t.Parallel()
	const maxBytes = 24
	position := chestnutroad.Position{Era: 3, Offset: 70_000}
	for _, list := range []*chestnutroad.EvacuationList{
		nil,
		{},
		{Position: position},
		{Position: position, DataCentres: []chestnutroad.DataCentreID{"poznan-a", "konin"}},
		{Position: position, DataCentres: []chestnutroad.DataCentreID{"a"}, Ending: []chestnutroad.DataCentreID{"b", "c"}},
	} {
		encoded := encodeEvacuations(list)
		if got := decodeEvacuations(encoded); !reflect.DeepEqual(got, list) {
			t.Errorf("encoded %+v, decoded %+v", list, got)
		}
		if len(encoded) > maxBytes {
			t.Errorf("%+v takes %d bytes, want at most %d", list, len(encoded), maxBytes)
		}
	}
}

// TestMalformedEvacuations guards against a part of a list that is taken for the whole, which would end the evacuations that it lacks.
func TestMalformedEvacuations(t *testing.T) {
	t.Parallel()
	whole := encodeEvacuations(&chestnutroad.EvacuationList{
		Position: chestnutroad.Position{Offset: 5}, DataCentres: []chestnutroad.DataCentreID{"dc-a", "dc-b"},
	})
	const positionBytes, nameBytes = 2, 5
	for size := 1; size < len(whole); size++ {
		err := evacuation.New().Merge(0, decodeEvacuations(whole[:size]), "host")
		// A list that ends after a name can't be told from a whole one, but the JSON text around it is not valid when a datagram is cut.
		complete := size >= positionBytes && (size-positionBytes)%nameBytes == 0
		if errors.Is(err, evacuation.ErrMalformed) == complete {
			t.Errorf("%d of %d bytes: got error %v", size, len(whole), err)
		}
	}
	for _, data := range [][]byte{
		{0x80}, {0, 0x80}, {0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01}, {0, 1, 0x80}, {0, 1, 0xfe, 0xff, 0xff, 0xff, 0x0f, 'a'},
	} {
		if err := evacuation.New().Merge(0, decodeEvacuations(data), "host"); !errors.Is(err, evacuation.ErrMalformed) {
			t.Errorf("%v: got error %v", data, err)
		}
	}
}
