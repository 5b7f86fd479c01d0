package chestnutroad

import (
	"cmp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// SiteID identifies an installation of the router fleet.
type SiteID string

// DataCentreID identifies a data centre: hosts and targets that fail, or are cut off from the network, together.
type DataCentreID string

// RegionID identifies a region, a set of data centres to which requests may be confined.
type RegionID string

// HostID identifies a host, a machine that runs one router process (the serve command).
type HostID string

// TeamID identifies a team, a customer of a site.
type TeamID string

// ServiceID identifies a service: a model or a plain service.
type ServiceID string

// TargetID identifies a target: a model engine or an instance of a plain service.
type TargetID string

// RequestID identifies one request of a caller; it is the same on all hosts and for all attempts.
type RequestID string

// IdempotencyKey identifies one order; the caller chooses it, and it is unique within the team.
type IdempotencyKey string

// ChatID is the hash by which further turns of a chat are recognised; it is unique within the team.
type ChatID uint64

// PoolID identifies all targets of one service in one site.
type PoolID struct {
	Site    SiteID
	Service ServiceID
}

// String formats the pool as site/service.
func (pl PoolID) String() string { return string(pl.Site) + "/" + string(pl.Service) }

// ShardID identifies the targets of one pool in one data centre.
type ShardID struct {
	Pool       PoolID
	DataCentre DataCentreID
}

// String formats the shard as site/service/data centre.
func (sh ShardID) String() string { return sh.Pool.String() + "/" + string(sh.DataCentre) }

// SoftwareVersion is the version of a target's software. Versions have no order.
type SoftwareVersion string

// Incarnation numbers the successive starts of a host or target; a later start has a higher number.
type Incarnation uint64

// Offset is the position of a record in a stream.
type Offset int64

// Version numbers the accepted configurations of a site.
type Version uint64

// FencingNumber is the fencing token of a controller lease, the offset of the lease's record: a later holder has a higher one.
type FencingNumber Offset

// Epoch orders the successive ownerships of one shard by their start.
type Epoch struct {
	// Millis is the Unix time of the start in milliseconds.
	Millis int64
	// Host is the owner; it orders ownerships that start in the same millisecond.
	Host HostID
}

// Compare returns -1, 0 or 1 as ep is before, equal to or after other.
func (ep Epoch) Compare(other Epoch) int {
	if order := cmp.Compare(ep.Millis, other.Millis); order != 0 {
		return order
	}
	return cmp.Compare(ep.Host, other.Host)
}

// IsZero reports whether ep is the zero epoch: no host has claimed the shard yet.
func (ep Epoch) IsZero() bool { return ep == Epoch{} }

// Tokens is a number of model tokens.
type Tokens int64

// Bytes is a size of memory, or an amount of traffic, in bytes.
type Bytes int64

// WorkUnits is an estimate of engine time; one unit is the time to generate one token.
type WorkUnits int64

// prefillTokensPerUnit is the number of prompt tokens that cost as much engine time as one generated token.
const prefillTokensPerUnit = 10

// WorkOf estimates the work of a request, at least one unit, from the prompt tokens to prefill and the tokens to generate.
func WorkOf(prefill, output Tokens) WorkUnits {
	return max(1, WorkUnits((prefill+prefillTokensPerUnit-1)/prefillTokensPerUnit+output))
}

// String formats the chat id in hexadecimal.
func (ch ChatID) String() string { return strconv.FormatUint(uint64(ch), 16) }

// HashID returns the xxHash64 of a name.
func HashID(name string) uint64 { return xxhash.Sum64String(name) }
