package siblings

import (
	"slices"
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/resumption"
)

// TestStarts guards against starts of streams that other hosts read with another version, and against a malformed list that ends the host.
func TestStarts(t *testing.T) {
	t.Parallel()
	starts := []resumption.Start{
		{Service: "model", Version: "v1", Stream: 1},
		{Service: "model", Version: "v1", Stream: 1 << 63},
		{Service: "model", Version: "v2", Stream: 2},
		{Service: "other", Version: "", Stream: 3},
	}
	data := encodeStarts(starts)
	if got := decodeStarts(data); !slices.Equal(got, starts) {
		t.Errorf("got %v, want %v", got, starts)
	}
	for length := range data {
		if got := decodeStarts(data[:length]); !slices.Equal(got, starts[:len(got)]) {
			t.Errorf("got %v of %d bytes", got, length)
		}
	}
	for _, malformed := range [][]byte{{0xff}, {1, 'a', 1, 'b', 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1}, {200, 1, 'a'}} {
		if got := decodeStarts(malformed); len(got) > 0 {
			t.Errorf("got %v from %v", got, malformed)
		}
	}
}
