package policy

import (
	"github.com/chestnutroad/chestnutroad/internal/pool"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// baseOptions is the number of options besides the team weights.
const baseOptions = 14

// Options returns the options of the owners of a service's shards under the effective configuration.
func Options(effective *settings.Effective, service settings.Service) []pool.Option {
	fleet := effective.Fleet
	opts := make([]pool.Option, 0, baseOptions+len(effective.Teams))
	opts = append(opts,
		pool.Multiple(service.Multiple),
		pool.LoadFloor(service.LoadFloor),
		pool.QueueLimit(service.QueueLimit),
		pool.SlowStart(service.SlowStart),
		pool.Headroom(service.Headroom),
		pool.AffinityWait(service.AffinityWait),
		pool.Slots(service.Slots),
		pool.SummaryMaxAge(fleet.SummaryMaxAge),
		pool.TakeoverDelay(fleet.TakeoverDelay),
		pool.ReservedShare(fleet.ReservedHeadroom),
		pool.TableLimit(fleet.PlacementEntries),
		pool.EjectLimit(fleet.EjectionLimit),
		pool.Reports(service.Kind == settings.KindEngine),
		pool.Moves(service.Kind == settings.KindEngine),
	)
	for _, team := range effective.Teams {
		opts = append(opts, pool.TeamWeight(team.ID, float64(team.Weight)))
	}
	return opts
}
