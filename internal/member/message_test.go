package member

import (
	"reflect"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestMessageRoundTrip guards against a field that is lost in encoding or decoding, after which the views of the hosts
// would never agree.
func TestMessageRoundTrip(t *testing.T) {
	host := Host{ID: "a", DataCentre: "poznan-a", PeerAddress: "10.0.0.1:7946", Incarnation: 1_800_000_000_000}
	sent := Message{
		Type: Ack, Sequence: 7, From: host, FromLeaving: true, Subject: host, Digest: []byte{1, 2}, Want: 1 << 31,
		Records: []Record{
			{Kind: RecordHost, Host: host, State: Suspect, Leaving: true},
			{Kind: RecordLeaving, Name: "engine-1", Leaving: true, Stamp: 5},
			{Kind: RecordEpoch, Shard: testShard},
			{Kind: RecordVersion, Version: 3, Offset: 9},
		},
		PayloadKind: PlacementException, Payload: []byte("payload"),
	}
	sent.Records[2].Epoch.Millis, sent.Records[2].Epoch.Host = 8, "b"
	data, err := sent.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil || !reflect.DeepEqual(got, sent) {
		t.Errorf("decoded %+v, %v; want %+v", got, err, sent)
	}
	sent.Payload = make([]byte, MaxMessage)
	if _, err := sent.Encode(); !errors.Is(err, ErrMessageTooLarge) {
		t.Errorf("an oversize message was encoded: %v", err)
	}
}
