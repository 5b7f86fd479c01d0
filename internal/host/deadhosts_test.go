package host

import (
	"testing"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member"
)

// TestDeadHosts guards against a claimant's death that the orders never hear of, and against a host that is held dead for
// ever after a partition has healed.
func TestDeadHosts(t *testing.T) {
	view := func(state member.State, life chestnutroad.Incarnation) []member.HostView {
		return []member.HostView{{Host: member.Host{ID: "host-1", Incarnation: life}, State: state}}
	}
	tests := []struct {
		name       string
		hosts      []member.HostView
		gone, back int
	}{
		{"alive", view(member.Alive, 1), 0, 0},
		{"dead", view(member.Dead, 1), 1, 0},
		{"still dead", view(member.Dead, 1), 0, 0},
		{"alive again", view(member.Alive, 1), 0, 1},
		{"a later life dies", view(member.Dead, 2), 1, 0},
	}
	var dh deadHosts
	for _, tt := range tests {
		gone, back := dh.update(tt.hosts)
		if len(gone) != tt.gone || len(back) != tt.back {
			t.Errorf("%s: %d gone and %d back, want %d and %d", tt.name, len(gone), len(back), tt.gone, tt.back)
		}
	}
}
