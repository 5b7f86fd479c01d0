package siblings_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/siblings"
)

// TestCompressed guards against a configuration that is sent at its full size or decompressed to another text, and against
// data that decompresses to more than the size limit of a call.
func TestCompressed(t *testing.T) {
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
		// maxSize is the limit of the compressed text in bytes.
		maxSize int
	}{
		{"rules", siblings.NewCompressed(rules.Bytes()).Data(), rules.Bytes(), rules.Len() / 4},
		{"empty", siblings.NewCompressed(nil).Data(), []byte{}, 100},
		{"not gzip", []byte("no gzip"), nil, 100},
		{"truncated", siblings.NewCompressed(rules.Bytes()).Data()[:500], nil, 1000},
		{"too large", siblings.NewCompressed(make([]byte, 9<<20)).Data(), nil, 1 << 20},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			text, err := siblings.Decompress(tc.data)
			if (err == nil) != (tc.want != nil) || !bytes.Equal(text, tc.want) {
				t.Errorf("decompressed to %d bytes, want %d: %v", len(text), len(tc.want), err)
			}
			if len(tc.data) > tc.maxSize {
				t.Errorf("compressed to %d bytes, want at most %d", len(tc.data), tc.maxSize)
			}
		})
	}
}
