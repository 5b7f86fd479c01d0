package hopbyhop_test

import (
	"net/http"
	"slices"
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/hopbyhop"
)

// TestRemove guards against a header of one connection that reaches the next one, and against others that are lost.
func TestRemove(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		header http.Header
		kept   []string
	}{
		{"plain", http.Header{"Accept": {"a"}, "Content-Length": {"3"}}, []string{"Accept", "Content-Length"}},
		{"known", http.Header{"Connection": {"close"}, "Te": {"trailers"}, "Proxy-Authorization": {"k"}, "X-One": {"1"}}, []string{"X-One"}},
		{"named", http.Header{"Connection": {"x-one, X-Two", "x-three"}, "X-One": {"1"}, "X-Two": {"2"}, "X-Three": {"3"}, "X-Four": {"4"}}, []string{"X-Four"}},
		{"empty", http.Header{}, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			hopbyhop.Remove(tc.header)
			var kept []string
			for name := range tc.header {
				kept = append(kept, name)
			}
			slices.Sort(kept)
			if !slices.Equal(kept, tc.kept) {
				t.Errorf("kept %v, want %v", kept, tc.kept)
			}
		})
	}
}
