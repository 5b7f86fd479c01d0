package placement_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// offDigest is the digest of the choices and announcements of offScenario by the code before package locality was used (commit f64c80c).
const offDigest uint64 = 5915311944244125118

// offScenario plays requests of all kinds at two hosts of different data centres, with targets that fail, refuse, leave and join, and
// returns a digest of all choices and announced residences.
func offScenario(opts ...placement.Option) uint64 {
	rnd := rand.New(rand.NewPCG(7, 1))
	pools := []*placement.Pool{placement.NewPool("dc-0", opts...), placement.NewPool("dc-1", opts...)}
	targetEntry := func(index int) *chestnutroad.TargetEntry {
		en := entry(index, chestnutroad.DataCentreID(fmt.Sprint("dc-", index%3)), 12*(index%2))
		if index%2 == 0 {
			en.Service = "plain"
		}
		return en
	}
	for index := range 24 {
		for _, pl := range pools {
			pl.Set(targetEntry(index))
		}
	}
	digest := uint64(0)
	add := func(values ...any) { digest = chestnutroad.HashID(fmt.Sprint(append(values, digest)...)) }
	for step := range 6000 {
		now := start.Add(time.Duration(step) * 20 * time.Millisecond)
		pl := pools[step%2]
		id := chestnutroad.TargetID(fmt.Sprintf("i-%03d", rnd.IntN(24)))
		switch kind := rnd.IntN(40); {
		case kind < 3:
			counts := map[chestnutroad.TargetID]int{}
			for index := range 24 {
				counts[targetEntry(index).ID] = rnd.IntN(10)
			}
			pl.SetPeerCounts(counts)
		case kind == 3:
			pl.Observe(now, id, placement.Unreachable)
		case kind == 4:
			pl.Observe(now, id, placement.Shed)
		case kind < 9:
			pl.Observe(now, id, placement.Served)
		case kind == 9:
			announced := pools[0].TakeResidences(now)
			// A target that joins queues announcements in random order.
			slices.SortFunc(announced, func(a, b chestnutroad.Residence) int {
				return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(a.Target, b.Target))
			})
			pools[1].MergeResidences(now, announced)
			add(announced)
		case kind == 10 && step%5 == 0:
			for _, host := range pools {
				host.Remove(id)
			}
		case kind == 11:
			for _, host := range pools {
				if index := rnd.IntN(24); host.Set(targetEntry(index)) {
					host.MarkJoined(now, targetEntry(index).ID)
				}
			}
		default:
			req := newRequest("", step)
			req.Service, req.Rank = "plain", rnd.IntN(3)
			if rnd.IntN(3) > 0 {
				req.Service, req.RequireSlot = "s", rnd.IntN(2) == 0
				req.Affinity = fmt.Sprint("part-", rnd.IntN(30))
				req.SharedTokens, req.MaxOutputTokens = 4000, 100
				req.SharedParts, req.Fetch = []chestnutroad.PromptPart{{ID: req.Affinity, Tokens: 4000}}, fetchProfile
			}
			for range 2 {
				choice, found := pl.Choose(now, req)
				add(found, choice.Full, choice.Entry.ID, choice.Load, choice.Bound, choice.Preference, choice.Suspect, choice.Probe,
					choice.Fetch.Target, choice.Fetch.Reason)
				if !found || rnd.IntN(5) > 0 {
					break
				}
				pl.StartParts(now, req, &choice)
				pl.ConfirmParts(now, req, &choice.Entry)
				req.Excluded = append(req.Excluded, choice.Entry.ID)
			}
		}
	}
	return digest
}

// TestOffChangesNothing guards against other choices, fetches or announcements in installations without the configuration fields.
func TestOffChangesNothing(t *testing.T) {
	t.Parallel()
	off := placement.WithoutMechanisms(mechanism.Set{mechanism.Locality: true})
	cases := []struct {
		name string
		opts []placement.Option
		same bool
	}{
		{"no configuration", nil, true},
		{"switched off", []placement.Option{placement.WithLocality(false)}, true},
		{"mechanism off", []placement.Option{placement.WithLocality(true), off}, true},
		{"on", []placement.Option{placement.WithLocality(true)}, false},
	}
	for _, tc := range cases {
		if got := offScenario(tc.opts...); (got == offDigest) != tc.same {
			t.Errorf("%s: the digest is %d, want %d: %t", tc.name, got, offDigest, tc.same)
		}
	}
}
