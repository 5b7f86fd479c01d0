package operator

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Status is what a host says of itself under /status.
type Status struct {
	Host        chestnutroad.HostID
	Site        chestnutroad.SiteID
	DataCentre  chestnutroad.DataCentreID
	Incarnation chestnutroad.Incarnation
	Started     time.Time
	// Draining is true from the start of a planned stop.
	Draining bool
	// NotReady lists why the host takes no requests; it is empty on a ready host.
	NotReady      []Reason
	Configuration Configuration
	Log           LogStatus
	Members       []Member
	Shards        []Shard
	Requests      Requests
	Control       Control
}

// Reason says why a part of the host is not ready.
type Reason struct {
	// Part is what is not ready, such as Configuration or Orders.
	Part    string
	Message string
	// Partial is true when the host still takes other requests.
	Partial bool `json:",omitempty"`
}

// Configuration is the accepted configuration of the host.
type Configuration struct {
	Version chestnutroad.Version
	Offset  chestnutroad.Offset
	// Accepted is when the host accepted it.
	Accepted time.Time
	// HighestSeen is the highest version that any peer has told of.
	HighestSeen chestnutroad.Version
}

// LogStatus says how well the host reaches the platform's log.
type LogStatus struct {
	Available bool
	LastRead  time.Time
	// OrdersBase is true when the host knows all claims of the repeat window.
	OrdersBase bool
}

// Member is another host as membership sees it.
type Member struct {
	Host        chestnutroad.HostID
	DataCentre  chestnutroad.DataCentreID
	Address     string
	State       string
	Incarnation chestnutroad.Incarnation
}

// Shard is a shard as this host sees it.
type Shard struct {
	Pool       string
	DataCentre chestnutroad.DataCentreID
	Owner      chestnutroad.HostID
	Epoch      int64
	// Own is true when this host admits the shard's work; only then the rest is filled in.
	Own        bool
	Queued     int      `json:",omitempty"`
	Placements int      `json:",omitempty"`
	Targets    []Target `json:",omitempty"`
}

// Target is one target of a shard that this host owns.
type Target struct {
	Target  chestnutroad.TargetID
	Address string
	State   string
	Running int
	Work    chestnutroad.WorkUnits
	// Reported is when the target's last load report was taken.
	Reported time.Time
}

// Requests counts requests since the start of the process.
type Requests struct {
	Open      int64
	Completed uint64
	Refused   uint64
	Retried   uint64
}

// Control is the control traffic that the host sends.
type Control struct {
	BytesPerSecond float64
	Budget         chestnutroad.Bytes
	Dropped        uint64
}

// Ready reports whether the host takes requests.
func (st Status) Ready() bool { return isReady(st.NotReady) }

// isReady is false when any reason keeps the whole host from taking requests.
func isReady(reasons []Reason) bool {
	for _, reason := range reasons {
		if !reason.Partial {
			return false
		}
	}
	return true
}
