package host

import (
	"testing"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member"
)

// TestDeadHosts guards against a claimant's death that is not reported to the orders, and against a host that stays
// reported as dead after a partition has healed.
func TestDeadHosts(t *testing.T) {
	view := func(state member.State, incarnation chestnutroad.Incarnation) []member.HostView {
		return []member.HostView{{Host: member.Host{ID: "host-1", Incarnation: incarnation}, State: state}}
	}
	tests := []struct {
		name          string
		hosts         []member.HostView
		died, revived int
	}{
		{"alive", view(member.Alive, 1), 0, 0},
		{"dead", view(member.Dead, 1), 1, 0},
		{"still dead", view(member.Dead, 1), 0, 0},
		{"alive again", view(member.Alive, 1), 0, 1},
		{"a later incarnation dies", view(member.Dead, 2), 1, 0},
	}
	var dh deadHosts
	for _, tt := range tests {
		died, revived := dh.update(tt.hosts)
		if len(died) != tt.died || len(revived) != tt.revived {
			t.Errorf("%s: %d died and %d revived, want %d and %d", tt.name, len(died), len(revived), tt.died, tt.revived)
		}
	}
}
