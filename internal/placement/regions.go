package placement

import (
	"maps"
	"slices"
	"strings"

	"github.com/chestnutroad/chestnutroad"
)

// WithRegions sets the region of each data centre. That of any other data centre is unknown.
func WithRegions(regions map[chestnutroad.DataCentreID]chestnutroad.RegionID) Option {
	return func(pl *Pool) { pl.regions = maps.Clone(regions) }
}

// allowsRegion reports whether the request may be sent to the region of the target. No restricted request may be sent to an unknown
// region.
func (pl *Pool) allowsRegion(req *Request, tg *target) bool {
	if !req.Restricted {
		return true
	}
	region := pl.regions[tg.entry.DataCentre]
	return region != "" && slices.Contains(req.AllowedRegions, region)
}

// OutsideRegions reports whether the service has targets for the request that don't leave, and all of them are outside of its allowed
// regions.
func (pl *Pool) OutsideRegions(req *Request) bool {
	outside := 0
	for _, tg := range pl.services[req.Service] {
		if tg.leaving() || !hasModel(&tg.entry, req.Model) {
			continue
		}
		if pl.allowsRegion(req, tg) {
			return false
		}
		outside++
	}
	return outside > 0
}

// utilisationKey identifies the targets of a service that requests with the same allowed regions may use.
type utilisationKey struct {
	service chestnutroad.ServiceID
	// regions is empty for requests that may use all targets.
	regions string
}

func newUtilisationKey(req *Request) utilisationKey {
	key := utilisationKey{service: req.Service}
	if req.Restricted {
		var text strings.Builder
		for _, id := range req.AllowedRegions {
			text.WriteString("/" + string(id))
		}
		key.regions = "regions" + text.String()
	}
	return key
}
