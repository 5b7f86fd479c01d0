package operator

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Status is the answer of /status: the state of one host.
type Status struct {
	Host        chestnutroad.HostID
	Site        chestnutroad.SiteID
	DataCentre  chestnutroad.DataCentreID
	Incarnation chestnutroad.Incarnation
	Started     time.Time
	// Draining is true from the start of a planned stop.
	Draining bool
	// NotReady lists the reasons why the host or a part of it is not ready.
	NotReady      []Reason
	Configuration Configuration
	Log           LogStatus
	Members       []Member
	Shards        []Shard
	Requests      Requests
	Control       Control
}

// Reason describes why the host or a part of it is not ready.
type Reason struct {
	// Part names the part that is not ready, such as Configuration or Orders.
	Part    string
	Message string
	// Partial is true if the host still takes other requests.
	Partial bool `json:",omitempty"`
}

// Configuration describes the configuration version that the host has accepted.
type Configuration struct {
	Version chestnutroad.Version
	Offset  chestnutroad.Offset
	// Accepted is the time at which the host accepted this version; the host leaves it zero.
	Accepted time.Time
	// HighestSeen is the highest version that this host accepted or a peer announced.
	HighestSeen chestnutroad.Version
}

// LogStatus describes the host's access to the platform's log.
type LogStatus struct {
	Available bool
	LastRead  time.Time
	// OrdersBase is true if the host knows all claims of the repeat window.
	OrdersBase bool
}

// Member is a host of the site in the membership view of this host.
type Member struct {
	Host        chestnutroad.HostID
	DataCentre  chestnutroad.DataCentreID
	Address     string
	State       string
	Incarnation chestnutroad.Incarnation
}

// Shard is a shard in the view of this host.
type Shard struct {
	Pool       string
	DataCentre chestnutroad.DataCentreID
	Owner      chestnutroad.HostID
	Epoch      int64
	// Own is true if this host admits the shard's work; the fields below are set only then.
	Own        bool
	Queued     int      `json:",omitempty"`
	Placements int      `json:",omitempty"`
	Targets    []Target `json:",omitempty"`
}

// Target is a target of a shard that this host owns. The host leaves Address and Reported unset.
type Target struct {
	Target  chestnutroad.TargetID
	Address string
	State   string
	Running int
	Work    chestnutroad.WorkUnits
	// Reported is the time of the target's last load report.
	Reported time.Time
}

// Requests holds the number of open requests and the counts of requests since the start of the process. The host leaves
// Retried zero.
type Requests struct {
	Open      int64
	Completed uint64
	Refused   uint64
	Retried   uint64
}

// Control describes the control traffic that the host has sent since the start of the process.
type Control struct {
	BytesPerSecond float64
	Budget         chestnutroad.Bytes
	Dropped        uint64
}

// Ready reports whether the host takes requests.
func (st Status) Ready() bool { return isReady(st.NotReady) }

// isReady reports whether all reasons are partial, so that the host still takes requests.
func isReady(reasons []Reason) bool {
	for _, reason := range reasons {
		if !reason.Partial {
			return false
		}
	}
	return true
}
