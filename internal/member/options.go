package member

import "time"

const (
	probeInterval     = time.Second
	remoteProbeEvery  = 5
	probeTimeout      = 500 * time.Millisecond
	indirectProbes    = 2
	suspicionTimeout  = 3 * time.Second
	rejoinInterval    = 5 * time.Second
	urgentInterval    = 400 * time.Millisecond
	urgentFanOut      = 3
	urgentRounds      = 4
	retransmitFactor  = 4
	verifyPerSecond   = 2
	pauseThreshold    = time.Second
	deadRetention     = 2 * time.Hour
	unlistedRetention = 10 * time.Minute
	leavingRetention  = time.Hour
	listOverrideDelay = time.Minute
	recheckInterval   = 10 * time.Second
	initialJoinProbes = 3
	joinInterval      = 2 * time.Second
	deathSyncWindow   = 30 * time.Second

	// TickInterval is the interval at which Tick has to be called. It bounds the delay of a probe's timeout.
	TickInterval = 100 * time.Millisecond

	// The four sizes from gossipBytes to relayBytes keep the total within the budget of 5,000 bytes a second even when every
	// message is full, as when a data centre is cut off: 1.2 probes a second with their answers and syncs, one failing probe
	// with its indirect probes, and the verification probes.

	// gossipBytes bounds a probe that carries a digest, and its answer without the records that repair buckets.
	gossipBytes = 300
	// syncBytes bounds the records that one message carries to repair differing buckets.
	syncBytes = 450
	// verifyBytes bounds a verification probe, and the answer to a ping without a digest (a verification or a relayed ping).
	verifyBytes = 200
	// relayBytes bounds a PingReq and the ping that its receiver sends.
	relayBytes = 120
	// urgentBytes bounds an urgent message. A member may send urgentBurst of them at once and urgentPerSecond on average.
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

// Option configures a Member.
type Option func(*settings)

// WithSeeds adds hosts to probe at the start; SetHostList adds hosts as well.
func WithSeeds(hosts ...Host) Option {
	return func(st *settings) { st.seeds = append(st.seeds, hosts...) }
}

// WithProbeInterval sets the interval between regular probes.
func WithProbeInterval(interval time.Duration) Option {
	return func(st *settings) { st.probeInterval = interval }
}

// WithSuspicionTimeout sets the time that a host has to refute a suspicion raised by this member. For a suspicion learned
// from another member the time is twice as long.
func WithSuspicionTimeout(timeout time.Duration) Option {
	return func(st *settings) { st.suspicionTimeout = timeout }
}

// WithRejoinInterval sets the interval between probes of dead hosts; zero disables them.
func WithRejoinInterval(interval time.Duration) Option {
	return func(st *settings) { st.rejoinInterval = interval }
}

// WithIndirectProbes sets the number of indirect probes that follow a failed direct one; zero disables them.
func WithIndirectProbes(count int) Option {
	return func(st *settings) { st.indirectProbes = count }
}

// WithoutRefutation disables the refutation of suspicions, for tests that show the effect of the mechanism.
func WithoutRefutation() Option { return func(st *settings) { st.refute = false } }

// WithoutDigests disables the digests on probes, for tests that show the effect of the mechanism.
func WithoutDigests() Option { return func(st *settings) { st.digests = false } }

// WithoutUrgent disables urgent messages, so that records only piggyback on probes. It is for tests that show the effect
// of the mechanism.
func WithoutUrgent() Option { return func(st *settings) { st.urgent = false } }

// WithoutPauseGuard lets probes and suspicions expire while the member itself was paused, for tests that show the effect
// of the mechanism.
func WithoutPauseGuard() Option { return func(st *settings) { st.pauseGuard = false } }
