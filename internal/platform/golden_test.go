package platform_test

import (
	"testing"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/golden"
	"github.com/chestnutroad/chestnutroad/internal/platform"
)

// TestWrittenForms guards against a renamed field that changes what other hosts, a store or an operator's tool reads.
func TestWrittenForms(t *testing.T) {
	t.Parallel()
	golden.Forms(t, []golden.Form{
		{Name: "AppendRequest", Value: &platform.AppendRequest{}},
		{Name: "AppendResponse", Value: &platform.AppendResponse{}},
		{Name: "HostsResponse", Value: &platform.HostsResponse{}},
		{Name: "Batch", Value: &chestnutroad.Batch{}},
	})
}
