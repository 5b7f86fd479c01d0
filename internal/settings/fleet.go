package settings

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Fleet holds the constants that all hosts of a site share.
type Fleet struct {
	// TakeoverDelay is the time that a new owner waits for engine reports when it can't reach the former one.
	TakeoverDelay time.Duration
	// SummaryInterval is the time between two load summaries of one shard.
	SummaryInterval time.Duration
	// SummaryMaxAge is the age past which a load summary is left out together with its targets.
	SummaryMaxAge time.Duration
	// RedirectLimit is the number of redirects that an entry host follows for one request.
	RedirectLimit int
	// ReservedHeadroom is the part of a target's slots that only orders and lookups use.
	ReservedHeadroom float64
	// PlacementEntries bounds the chats that an owner remembers.
	PlacementEntries int

	// RetryShare is the largest part of recent requests that may be retries.
	RetryShare float64
	// RetryWindow is the time over which RetryShare is counted.
	RetryWindow time.Duration
	// RetryFloor is the number of retries a second that are always allowed.
	RetryFloor int
	// EjectionLimit is the largest part of a pool that outlier ejection takes out.
	EjectionLimit float64

	// AppendInterval is the time over which an owner gathers order records into one append.
	AppendInterval time.Duration
	// AppendBudget is the number of appends a second that all owners together may make.
	AppendBudget int
	// RepeatWindow is the time for which a repeated order gets its first outcome.
	RepeatWindow time.Duration
	// OutcomeBodyLimit is the largest answer body that an outcome record keeps.
	OutcomeBodyLimit chestnutroad.Bytes
	// LogRetention is the time for which the platform's log keeps a record.
	LogRetention time.Duration
	// ConfigPoll is the time between two reads of the configuration stream.
	ConfigPoll time.Duration
	// HostListPoll is the time between two reads of the host list.
	HostListPoll time.Duration
	// DrainTimeout bounds a planned stop.
	DrainTimeout time.Duration

	// KeepAlive is the time after which an idle stream between hosts carries a frame.
	KeepAlive time.Duration
	// SendPingTimeout is the silence on a connection to an engine after which a ping is sent.
	SendPingTimeout time.Duration
	// PingTimeout is the time within which a ping must be answered.
	PingTimeout time.Duration

	// ProbeInterval is the time between two membership probes of a host.
	ProbeInterval time.Duration
	// ProbeTimeout is the time within which a probe must be answered.
	ProbeTimeout time.Duration
	// RemoteProbeEvery is the number of probes of which one goes to another data centre.
	RemoteProbeEvery int
	// IndirectProbes is the number of other hosts that are asked to probe a silent one.
	IndirectProbes int
	// SuspectTimeout is the time after which a suspect host counts as dead.
	SuspectTimeout time.Duration
	// ControlBudget is the control traffic that a host may send in one second.
	ControlBudget chestnutroad.Bytes
	// DatagramLimit is the largest datagram between hosts.
	DatagramLimit chestnutroad.Bytes

	// LeaseTime is the life of a controller's lease.
	LeaseTime time.Duration
	// WeightLoadInterval is the time in which the weight store allows one more load.
	WeightLoadInterval time.Duration
	// WeightLoadBurst is the number of weight loads that may start together.
	WeightLoadBurst int
}

// The upper ends of some ranges follow from requirements: a target that leaves gets no new work after 3 s (HostListPoll),
// a configuration is in force within 10 s (ConfigPoll), and control traffic has a budget (ControlBudget).
const (
	maxHostListPoll  = 2 * time.Second
	maxConfigPoll    = 5 * time.Second
	maxControlBudget = 64 * 1000
	maxDatagram      = 1400
)

func readFleet(rd *reader) Fleet {
	fl := Fleet{
		TakeoverDelay:    rd.duration("TakeoverDelay", 1500*time.Millisecond, 100*time.Millisecond, time.Minute),
		SummaryInterval:  rd.duration("SummaryInterval", 250*time.Millisecond, 50*time.Millisecond, 10*time.Second),
		SummaryMaxAge:    rd.duration("SummaryMaxAge", time.Second, 100*time.Millisecond, time.Minute),
		RedirectLimit:    int(rd.count("RedirectLimit", 3, 0, 10)),
		ReservedHeadroom: rd.percent("ReservedHeadroom", 0.2, 0, 0.9),
		PlacementEntries: int(rd.count("PlacementEntries", 200_000, 1, 10_000_000)),

		RetryShare:    rd.percent("RetryShare", 0.1, 0, 1),
		RetryWindow:   rd.duration("RetryWindow", 10*time.Second, time.Second, 10*time.Minute),
		RetryFloor:    int(rd.count("RetryFloor", 1, 0, 1000)),
		EjectionLimit: rd.percent("EjectionLimit", 0.3, 0, 0.9),

		AppendInterval:   rd.duration("AppendInterval", 25*time.Millisecond, time.Millisecond, 10*time.Second),
		AppendBudget:     int(rd.count("AppendBudget", 300, 1, 10_000)),
		RepeatWindow:     rd.duration("RepeatWindow", 24*time.Hour, time.Minute, 30*24*time.Hour),
		OutcomeBodyLimit: rd.size("OutcomeBodyLimit", 16<<10, 0, 1<<20),
		LogRetention:     rd.duration("LogRetention", 72*time.Hour, time.Minute, 365*24*time.Hour),
		ConfigPoll:       rd.duration("ConfigPoll", 500*time.Millisecond, 10*time.Millisecond, maxConfigPoll),
		HostListPoll:     rd.duration("HostListPoll", time.Second, 10*time.Millisecond, maxHostListPoll),
		DrainTimeout:     rd.duration("DrainTimeout", 10*time.Minute, time.Second, 24*time.Hour),

		KeepAlive:       rd.duration("KeepAlive", 2*time.Second, 100*time.Millisecond, time.Minute),
		SendPingTimeout: rd.duration("SendPingTimeout", 2*time.Second, 100*time.Millisecond, time.Minute),
		PingTimeout:     rd.duration("PingTimeout", 2*time.Second, 100*time.Millisecond, time.Minute),

		ProbeInterval:    rd.duration("ProbeInterval", time.Second, 50*time.Millisecond, time.Minute),
		ProbeTimeout:     rd.duration("ProbeTimeout", 500*time.Millisecond, 10*time.Millisecond, time.Minute),
		RemoteProbeEvery: int(rd.count("RemoteProbeEvery", 5, 1, 100)),
		IndirectProbes:   int(rd.count("IndirectProbes", 2, 0, 10)),
		SuspectTimeout:   rd.duration("SuspectTimeout", 3*time.Second, 100*time.Millisecond, 10*time.Minute),
		ControlBudget:    rd.rate("ControlBudget", 5000, 1000, maxControlBudget),
		DatagramLimit:    rd.size("DatagramLimit", 1200, 256, maxDatagram),

		LeaseTime:          rd.duration("LeaseTime", 15*time.Second, time.Second, 10*time.Minute),
		WeightLoadInterval: rd.duration("WeightLoadInterval", 10*time.Second, 10*time.Millisecond, time.Hour),
		WeightLoadBurst:    int(rd.count("WeightLoadBurst", 2, 1, 1000)),
	}
	rd.checkFleet(fl)
	rd.reportUnknownKeys()
	return fl
}

// checkFleet reports constants that don't fit together.
func (rd *reader) checkFleet(fl Fleet) {
	if rd.singleFile {
		return
	}
	rd.checkShorter("SummaryInterval", fl.SummaryInterval, "SummaryMaxAge", fl.SummaryMaxAge)
	rd.checkShorter("ProbeTimeout", fl.ProbeTimeout, "ProbeInterval", fl.ProbeInterval)
}

// checkShorter reports the first of two durations unless it is shorter than the second one.
func (rd *reader) checkShorter(key string, span time.Duration, longerKey string, longer time.Duration) {
	if span < longer {
		return
	}
	en := rd.tb.entries[key]
	if en == nil {
		en = rd.tb.entries[longerKey]
	}
	if en != nil {
		rd.errorf(key, en, "%s is not shorter than %s, which is %s",
			formatDuration(span), longerKey, formatDuration(longer))
	}
}
