package siblings_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/siblings"
)

// TestPacked guards against a configuration that is sent at its full size, against one that arrives changed, and against
// data that unpacks to more than a call may hold.
func TestPacked(t *testing.T) {
	t.Parallel()
	var rules bytes.Buffer
	for index := range 1850 {
		fmt.Fprintf(&rules, `{"id":"rule-%d","host":"h%d.example","prefix":"/p%d/","service":"desk","timeout_ms":600},`,
			index, index%40, index*7919)
	}
	cases := []struct {
		name string
		data []byte
		want []byte
		// most is the most bytes that the packed text may take.
		most int
	}{
		{"rules", siblings.NewCompressed(rules.Bytes()).Data(), rules.Bytes(), rules.Len() / 4},
		{"empty", siblings.NewCompressed(nil).Data(), []byte{}, 100},
		{"garbage", []byte("no gzip"), nil, 100},
		{"half", siblings.NewCompressed(rules.Bytes()).Data()[:500], nil, 1000},
		{"too large", siblings.NewCompressed(make([]byte, 9<<20)).Data(), nil, 1 << 20},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			text, err := siblings.Decompress(tc.data)
			if (err == nil) != (tc.want != nil) || !bytes.Equal(text, tc.want) {
				t.Errorf("got %d bytes, %v", len(text), err)
			}
			if len(tc.data) > tc.most {
				t.Errorf("%d bytes are sent", len(tc.data))
			}
		})
	}
}
