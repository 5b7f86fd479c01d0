package chestnutroad

import (
	"cmp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// SiteID names a customer's installation.
type SiteID string

// DataCentreID names a set of hosts and targets that fails or is cut off together.
type DataCentreID string

// HostID names a machine that runs one serve process.
type HostID string

// TeamID names a tenant that sends requests.
type TeamID string

// ServiceID names what a team asks for: a model or a plain service.
type ServiceID string

// TargetID names an engine or an instance of a plain service.
type TargetID string

// RequestID names one request of a caller across hosts and attempts.
type RequestID string

// IdempotencyKey is the caller's name for one order, unique within its team.
type IdempotencyKey string

// ChatID is the hash that identifies a returning chat within its team.
type ChatID uint64

// PoolID names all targets of one service in one site.
type PoolID struct {
	Site    SiteID
	Service ServiceID
}

// String returns the pool as site/service.
func (pl PoolID) String() string { return string(pl.Site) + "/" + string(pl.Service) }

// ShardID names the targets of one pool in one data centre.
type ShardID struct {
	Pool       PoolID
	DataCentre DataCentreID
}

// String returns the shard as site/service/data centre.
func (sh ShardID) String() string { return sh.Pool.String() + "/" + string(sh.DataCentre) }

// Incarnation tells apart successive lives of one host or engine; a later life has a higher number.
type Incarnation uint64

// Offset is the position of a record in a log stream.
type Offset int64

// Version counts accepted configurations of a site.
type Version uint64

// FencingNumber orders the holders of a controller lease; it is the offset of the lease's record.
type FencingNumber Offset

// Epoch orders the ownerships of one shard.
type Epoch struct {
	Millis int64
	Host   HostID
}

// Compare returns -1, 0 or 1 as ep is before, equal to or after other.
func (ep Epoch) Compare(other Epoch) int {
	if order := cmp.Compare(ep.Millis, other.Millis); order != 0 {
		return order
	}
	return cmp.Compare(ep.Host, other.Host)
}

// IsZero reports whether no ownership has been declared yet.
func (ep Epoch) IsZero() bool { return ep == Epoch{} }

// Tokens counts tokens of a prompt or an answer.
type Tokens int64

// Bytes counts bytes of memory or traffic.
type Bytes int64

// WorkUnits estimates engine time; one unit is the time of one generated token.
type WorkUnits int64

// prefillTokensPerUnit is the number of prompt tokens that cost as much engine time as one generated token.
const prefillTokensPerUnit = 10

// WorkOf estimates the work of a request from the prompt tokens to prefill and the tokens to generate.
func WorkOf(prefill, output Tokens) WorkUnits {
	return max(1, WorkUnits((prefill+prefillTokensPerUnit-1)/prefillTokensPerUnit+output))
}

// String returns the chat id in hexadecimal.
func (ch ChatID) String() string { return strconv.FormatUint(uint64(ch), 16) }

// HashID spreads a name evenly over 64 bits.
func HashID(name string) uint64 { return xxhash.Sum64String(name) }
