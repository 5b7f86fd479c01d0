package host

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/host/hostpb"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// TestExceptionStoreIsBounded guards against a store that grows for as long as another host owns the shard, and against
// one that drops the newest placements.
func TestExceptionStoreIsBounded(t *testing.T) {
	var store exceptionStore
	const chats = 3 * maxStoredExceptions
	for chat := range chats {
		store.add([]pool.PlacementException{{Chat: chestnutroad.ChatID(chat + 1), Target: "engine-1"}})
	}
	if len(store.exceptions) > maxStoredExceptions || len(store.placements) > maxStoredExceptions {
		t.Errorf("%d exceptions and %d placements are stored, want at most %d",
			len(store.exceptions), len(store.placements), maxStoredExceptions)
	}
	if store.placements[chats] != "engine-1" {
		t.Error("the newest exception was dropped")
	}
}

// TestMalformedExceptions guards against a message whose indices make the host read beyond the list of targets.
func TestMalformedExceptions(t *testing.T) {
	tests := []struct {
		name    string
		message *hostpb.PlacementExceptions
		valid   bool
	}{
		{"valid", &hostpb.PlacementExceptions{Targets: []string{"a"}, Chats: []uint64{1}, Places: []uint32{0}}, true},
		{"place beyond the targets", &hostpb.PlacementExceptions{Targets: []string{"a"}, Chats: []uint64{1}, Places: []uint32{1}}, false},
		{"more chats than places", &hostpb.PlacementExceptions{Targets: []string{"a"}, Chats: []uint64{1, 2}, Places: []uint32{0}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			data, err := proto.Marshal(tt.message)
			if err != nil {
				t.Fatal(err)
			}
			if _, _, err := decodeExceptions("site", data); (err == nil) != tt.valid {
				t.Errorf("error %v, want valid %v", err, tt.valid)
			}
		})
	}
}
