package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// Entry holds the process settings of an entry host on an installation's platform.
type Entry struct {
	ID         chestnutroad.HostID
	DataCentre chestnutroad.DataCentreID

	// CallerAddress is where callers connect, ReadyAddress where the balancer asks for readiness.
	CallerAddress netip.AddrPort
	ReadyAddress  netip.AddrPort
	// PeerPort is where other hosts connect and send datagrams, on the IP number of CallerAddress; it is the same on all.
	PeerPort int
	// MetricsPort serves the metrics on the IP number of CallerAddress; zero turns that off.
	MetricsPort int
	// StoreAddress is the platform's store.
	StoreAddress netip.AddrPort

	// Seeds are some other hosts, which may be down; only their IP numbers count, since ports are the same everywhere.
	Seeds []netip.AddrPort
	// Processors is the share of a core that the host has.
	Processors float64
	// Memory is the memory that the process may use.
	Memory chestnutroad.Bytes
	// Drain is the time after which a target that left must get no requests.
	Drain time.Duration
	// Grace is the time between the request to stop and the end of the process.
	Grace time.Duration
	// CapFactor is the multiple of the mean load that no target should exceed.
	CapFactor float64
	// Placement names how targets are chosen; all but the default are baselines for comparisons.
	Placement placement.Policy
	// Without are mechanisms that are switched off, to measure what they are worth.
	Without mechanism.Set
	// PartMemory is how long after its last use a prompt part stays with the target where it was used.
	PartMemory time.Duration
	// RetryRatio, RetrySlack and RetryWindow are the retry budget that all hosts share for each service.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	LogLevel    string
}

// The limits of the settings of an entry host; a value outside of them is a mistake rather than a choice.
const (
	minMemory = 32 << 20
	maxMemory  = 1 << 40
	maxDuration    = 10 * time.Minute
	maxFactor  = 1000
	maxRetrySlack   = 1e6
	maxPort    = 65535
)

// LoadEntry reads the process settings of an entry host.
func LoadEntry(path string) (*Entry, error) {
	files, err := readFiles([]string{path})
	if err != nil {
		return nil, err
	}
	return ParseEntry(files[0])
}

// ParseEntry checks the process settings of an entry host; faults come back as Errors. Unknown keys are ignored, since
// the platform may add some.
func ParseEntry(fl File) (*Entry, error) {
	rp := newReport([]File{fl})
	tb, readable := parseFile(fl, rp)
	root := newReader(rp, tb, !readable)
	if root.tb.entries["Entry"] == nil {
		root.reportMissing("Entry")
	}
	var en *Entry
	if rd := root.table("Entry"); rd != nil {
		en = readEntry(rd)
	}
	if err := rp.err(); err != nil {
		return nil, err
	}
	return en, nil
}

func readEntry(rd *reader) *Entry {
	policies := make([]string, 0, len(placement.Policies()))
	for _, policy := range placement.Policies() {
		policies = append(policies, string(policy))
	}
	return &Entry{
		ID:            chestnutroad.HostID(rd.hostID("ID")),
		DataCentre:    chestnutroad.DataCentreID(rd.hostID("DataCentre")),
		CallerAddress: rd.requiredAddress("CallerAddress", false),
		ReadyAddress:  rd.requiredAddress("ReadyAddress", false),
		StoreAddress:  rd.requiredAddress("StoreAddress", true),
		PeerPort:      rd.requiredPort("PeerPort"),
		MetricsPort:   int(rd.count("MetricsPort", 0, 0, maxPort)),
		Seeds:         rd.addresses("Seeds"),
		Processors:    rd.ratio("Processors", 1, 0, maxFactor),
		Memory:        rd.size("Memory", 206<<20, minMemory, maxMemory),
		Drain:         rd.duration("Drain", 2*time.Second, time.Second, maxDuration),
		Grace:         rd.duration("Grace", 8*time.Second, 0, maxDuration),
		CapFactor:     rd.ratio("CapFactor", 2, 1, maxFactor),
		Placement:     placement.Policy(rd.choice("Placement", policies[0], policies...)),
		Without:       rd.mechanismSet("Without"),
		PartMemory:    rd.duration("PartMemory", placement.DefaultPartMemory, time.Second, maxDuration),
		RetryRatio:    rd.ratio("RetryRatio", 0.2, 0, 1),
		RetrySlack:    rd.ratio("RetrySlack", 100, 0, maxRetrySlack),
		RetryWindow:   rd.duration("RetryWindow", 10*time.Second, time.Second, maxDuration),
		LogLevel:      rd.choice("LogLevel", "info", "debug", "info", "warn", "error"),
	}
}

// mechanismSet reads a list of the mechanismSet that are off.
func (rd *reader) mechanismSet(key string) mechanism.Set {
	off := mechanism.Set{}
	names := rd.texts(key, func(text string) string {
		if slices.Contains(mechanism.Names(), mechanism.Name(text)) {
			return ""
		}
		return fmt.Sprintf("%q is not a mechanism; they are %v", text, mechanism.Names())
	})
	for _, name := range names {
		off[mechanism.Name(name)] = true
	}
	return off
}

// requiredPort reads a port that has no default.
func (rd *reader) requiredPort(key string) int {
	if rd.tb.entries[key] == nil {
		rd.used[key] = true
		rd.reportMissing(key)
		return 0
	}
	return int(rd.count(key, 0, 1, maxPort))
}

// addresses reads a list of IP numbers and ports of other machines.
func (rd *reader) addresses(key string) []netip.AddrPort {
	texts := rd.texts(key, func(text string) string {
		_, fault := parseAddress(text, true)
		return fault
	})
	addresses := make([]netip.AddrPort, 0, len(texts))
	for _, text := range texts {
		if address, fault := parseAddress(text, true); fault == "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
