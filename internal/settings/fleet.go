package settings

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Fleet holds the parameters that are the same on all hosts of a site. Hosts do not apply all of them: docs/promises.md lists
// those that are only checked.
type Fleet struct {
	// TakeoverDelay is the minimum time for which a new owner without the previous owner's state gives a target work only up to
	// LoadFloor, or one request.
	TakeoverDelay time.Duration
	// SummaryInterval is the interval between load summaries of a shard.
	SummaryInterval time.Duration
	// SummaryMaxAge is the age beyond which a load summary is ignored together with its targets.
	SummaryMaxAge time.Duration
	// RedirectLimit is the maximum number of redirects that an entry host follows for a request.
	RedirectLimit int
	// ReservedHeadroom is the share of each target's slots that is reserved for orders and lookups.
	ReservedHeadroom float64
	// PlacementEntries is the maximum number of chats whose placement an owner remembers.
	PlacementEntries int

	// RetryShare is the maximum share of recent requests that may be retries.
	RetryShare float64
	// RetryWindow is the time over which RetryShare is counted.
	RetryWindow time.Duration
	// RetryFloor is the number of retries per second that are always allowed.
	RetryFloor int
	// EjectionLimit is the maximum share of a shard's targets that outlier ejection removes.
	EjectionLimit float64

	// AppendInterval is the minimum time between two appends of an owner, which batches the order records in between.
	AppendInterval time.Duration
	// AppendBudget is the maximum number of appends per second by all owners together.
	AppendBudget int
	// RepeatWindow is how long a repeated order is answered with its first outcome.
	RepeatWindow time.Duration
	// OutcomeBodyLimit is the maximum size of the response body in an outcome record.
	OutcomeBodyLimit chestnutroad.Bytes
	// LogRetention is how long the platform's log retains a record.
	LogRetention time.Duration
	// ConfigPoll is the interval between reads of the configuration stream.
	ConfigPoll time.Duration
	// HostListPoll is the interval between reads of the host list.
	HostListPoll time.Duration
	// DrainTimeout is the maximum duration of a planned stop.
	DrainTimeout time.Duration

	// KeepAlive is the idle time after which a keep-alive frame is sent on a stream between hosts.
	KeepAlive time.Duration
	// SendPingTimeout is the time without data on a connection to an engine after which a ping is sent.
	SendPingTimeout time.Duration
	// PingTimeout is how long the answer to a ping may take.
	PingTimeout time.Duration

	// ProbeInterval is the interval between the membership probes that a host sends.
	ProbeInterval time.Duration
	// ProbeTimeout is how long the answer to a probe may take.
	ProbeTimeout time.Duration
	// RemoteProbeEvery is n if one of n probes goes to another data centre.
	RemoteProbeEvery int
	// IndirectProbes is the number of other hosts that are asked to probe a host that has not answered.
	IndirectProbes int
	// SuspectTimeout is how long a host is suspect before it is declared dead.
	SuspectTimeout time.Duration
	// ControlBudget is the maximum control traffic that a host sends per second.
	ControlBudget chestnutroad.Bytes
	// DatagramLimit is the maximum size of a datagram between hosts.
	DatagramLimit chestnutroad.Bytes

	// LeaseTime is how long a controller's lease is valid.
	LeaseTime time.Duration
	// WeightLoadInterval is the interval at which the store of model weights allows one more load.
	WeightLoadInterval time.Duration
	// WeightLoadBurst is the number of loads of model weights that may start at once.
	WeightLoadBurst int
}

// Upper bounds that follow from requirements: a target that leaves gets no new work after 3 s (HostListPoll), a configuration is
// in force within 10 s (ConfigPoll), and control traffic has a budget (ControlBudget).
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

// checkFleet reports parameters that contradict each other.
func (rd *reader) checkFleet(fl Fleet) {
	if rd.partial {
		return
	}
	rd.checkShorter("SummaryInterval", fl.SummaryInterval, "SummaryMaxAge", fl.SummaryMaxAge)
	rd.checkShorter("ProbeTimeout", fl.ProbeTimeout, "ProbeInterval", fl.ProbeInterval)
}

// checkShorter reports the key unless its duration is shorter than that of longerKey.
func (rd *reader) checkShorter(key string, duration time.Duration, longerKey string, longer time.Duration) {
	if duration < longer {
		return
	}
	en := rd.tb.entries[key]
	if en == nil {
		en = rd.tb.entries[longerKey]
	}
	if en != nil {
		rd.errorf(key, en, "%s is not shorter than %s, which is %s",
			formatDuration(duration), longerKey, formatDuration(longer))
	}
}
