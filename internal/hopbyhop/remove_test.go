package hopbyhop_test

import (
	"net/http"
	"slices"
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/hopbyhop"
)

// TestRemove guards against forwarding a hop-by-hop header, and against removing any other header.
func TestRemove(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name      string
		header    http.Header
		remaining []string
	}{
		{"end-to-end headers", http.Header{"Accept": {"a"}, "Content-Length": {"3"}}, []string{"Accept", "Content-Length"}},
		{"standard hop-by-hop headers", http.Header{"Connection": {"close"}, "Te": {"trailers"}, "Proxy-Authorization": {"k"}, "X-One": {"1"}}, []string{"X-One"}},
		{"headers listed by Connection", http.Header{"Connection": {"x-one, X-Two", "x-three"}, "X-One": {"1"}, "X-Two": {"2"}, "X-Three": {"3"}, "X-Four": {"4"}}, []string{"X-Four"}},
		{"empty header", http.Header{}, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			hopbyhop.Remove(tc.header)
			var remaining []string
			for name := range tc.header {
				remaining = append(remaining, name)
			}
			slices.Sort(remaining)
			if !slices.Equal(remaining, tc.remaining) {
				t.Errorf("headers left: %v, want %v", remaining, tc.remaining)
			}
		})
	}
}
