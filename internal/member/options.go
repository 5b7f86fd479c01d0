package member

import "time"

const (
	probeInterval      = time.Second
	remoteProbeEvery   = 5
	probeTimeout       = 500 * time.Millisecond
	indirectProbes     = 2
	suspicionTimeout   = 3 * time.Second
	rejoinInterval     = 5 * time.Second
	urgentInterval     = 400 * time.Millisecond
	urgentFanOut       = 3
	urgentRounds       = 4
	retransmitFactor   = 4
	verifyPerSecond    = 2
	pauseThreshold     = time.Second
	deadRetention    = 2 * time.Hour
	unlistedRetention     = 10 * time.Minute
	leavingRetention = time.Hour
	listOverrideDelay       = time.Minute
	recheckInterval    = 10 * time.Second
	initialJoinProbes        = 3
	joinInterval       = 2 * time.Second
	deathSyncWindow        = 30 * time.Second

	// TickInterval is how often a member expects Tick. It bounds how late a probe times out.
	TickInterval = 100 * time.Millisecond
	// The four sizes below keep the sum within the budget of 5,000 bytes a second when every message is full, as when
	// a data centre is cut off: 1.2 probes a second with their answers and syncs, one failing probe with its indirect
	// ones, and the verifications.

	// gossipBytes bounds a probe, and the part of its answer that isn't a sync.
	gossipBytes = 300
	// syncBytes bounds the records that one message carries to repair differing buckets.
	syncBytes = 450
	// verifyBytes bounds verifications, indirect probes and their answers.
	verifyBytes = 200
	// relayBytes bounds the four messages of an indirect probe.
	relayBytes = 120
	// urgentBytes bounds an urgent message, of which urgentBurst may follow each other and one a second in the long run.
	urgentBytes     = 400
	urgentBurst     = urgentFanOut * urgentRounds
	urgentPerSecond = 1
)

type settings struct {
	probeInterval    time.Duration
	suspicionTimeout time.Duration
	rejoinInterval   time.Duration
	indirectProbes   int
	refute           bool
	digests          bool
	urgent           bool
	pauseGuard       bool
	seeds            []Host
}

func defaultSettings() settings {
	return settings{
		probeInterval:    probeInterval,
		suspicionTimeout: suspicionTimeout,
		rejoinInterval:   rejoinInterval,
		indirectProbes:   indirectProbes,
		refute:           true,
		digests:          true,
		urgent:           true,
		pauseGuard:       true,
	}
}

// Option changes a default of a Member.
type Option func(*settings)

// WithSeeds names hosts to probe at the start; the host list adds hosts as well.
func WithSeeds(hosts ...Host) Option {
	return func(st *settings) { st.seeds = append(st.seeds, hosts...) }
}

// WithProbeInterval sets the time between two probes.
func WithProbeInterval(interval time.Duration) Option {
	return func(st *settings) { st.probeInterval = interval }
}

// WithSuspicionTimeout sets the time that a suspected host has to refute.
func WithSuspicionTimeout(timeout time.Duration) Option {
	return func(st *settings) { st.suspicionTimeout = timeout }
}

// WithRejoinInterval sets the time between two probes of dead hosts; zero turns them off.
func WithRejoinInterval(interval time.Duration) Option {
	return func(st *settings) { st.rejoinInterval = interval }
}

// WithIndirectProbes sets the number of indirect probes after a direct one fails.
func WithIndirectProbes(count int) Option {
	return func(st *settings) { st.indirectProbes = count }
}

// WithoutRefutation keeps the member from refuting suspicions; it is the baseline of a proof.
func WithoutRefutation() Option { return func(st *settings) { st.refute = false } }

// WithoutDigests keeps the member from comparing records on probes; it is the baseline of a proof.
func WithoutDigests() Option { return func(st *settings) { st.digests = false } }

// WithoutUrgent leaves all records to the probes; it is the baseline of a proof.
func WithoutUrgent() Option { return func(st *settings) { st.urgent = false } }

// WithoutPauseGuard lets probes and suspicions run out while the member itself was paused; it is the baseline of a proof.
func WithoutPauseGuard() Option { return func(st *settings) { st.pauseGuard = false } }
