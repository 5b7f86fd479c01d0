package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/kvfetch"
	"github.com/chestnutroad/chestnutroad/internal/locality"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/placement"
	"github.com/chestnutroad/chestnutroad/internal/warmup"
)

// Entry holds the process settings of an entry host that uses the platform's store.
type Entry struct {
	ID         chestnutroad.HostID
	DataCentre chestnutroad.DataCentreID
	// Region is the region of DataCentre, and Regions that of each data centre whose region is known, the host's own included.
	Region  chestnutroad.RegionID
	Regions map[chestnutroad.DataCentreID]chestnutroad.RegionID

	// CallerAddress is the listen address for callers, ReadyAddress that for the load balancer's readiness checks.
	CallerAddress netip.AddrPort
	ReadyAddress  netip.AddrPort
	// PeerPort is the port for connections and datagrams from other hosts, on the IP address of CallerAddress. All hosts use the
	// same port.
	PeerPort int
	// MetricsPort is the port for metrics on the IP address of CallerAddress; zero disables it.
	MetricsPort int
	// StoreAddress is the address of the platform's store.
	StoreAddress netip.AddrPort

	// Seeds are addresses of other hosts, any of which may be down. Their ports are ignored, since all hosts use PeerPort.
	Seeds []netip.AddrPort
	// Processors is the number of cores that the host has; it may be a fraction.
	Processors float64
	// Memory is the memory limit of the process.
	Memory chestnutroad.Bytes
	// Drain is the time after which a target that left must no longer get requests.
	Drain time.Duration
	// Grace is the time from the request to stop to the end of the process.
	Grace time.Duration
	// CapFactor is the multiple of the mean load that a target's load should not exceed.
	CapFactor float64
	// Placement is the policy that chooses targets; all but the default are baselines for comparison.
	Placement placement.Policy
	// Without holds the mechanisms that are disabled, to measure the effect of each.
	Without mechanism.Set
	// PartMemory is how long after its last use a prompt part stays at the target where it was used.
	PartMemory time.Duration
	// KVFetch selects the services for which requests name an engine from which theirs can fetch the prompt's KV cache.
	KVFetch kvfetch.Mode
	// RemoteTraffic selects whether load and costs decide which requests go to targets of other data centres.
	RemoteTraffic locality.Mode
	// RetryRatio, RetrySlack and RetryWindow define the retry budget of each service, which all hosts share: in each window,
	// RetryRatio retries for each request and RetrySlack more.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdOverrun and ColdTolerance bound the requests that a cold target may get in any second, from all hosts: a multiple of the
	// service's cold rate, and requests beside it.
	ColdOverrun   float64
	ColdTolerance float64
	// LogLevel is the lowest level that is logged.
	LogLevel string
}

// Bounds of the settings of an entry host. They are wide; a value outside of them is taken for a mistake.
const (
	minMemory     = 32 << 20
	maxMemory     = 1 << 40
	maxDuration   = 10 * time.Minute
	maxFactor     = 1000
	maxRetrySlack = 1e6
	maxPort       = 65535
)

// LoadEntry reads and parses the file with the process settings of an entry host.
func LoadEntry(path string) (*Entry, error) {
	files, err := readFiles([]string{path})
	if err != nil {
		return nil, err
	}
	return ParseEntry(files[0])
}

// ParseEntry parses the process settings of an entry host. Errors in the file are returned as Errors. Unknown keys are ignored,
// since the platform may add some.
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
	modes := make([]string, 0, len(kvfetch.Modes()))
	for _, mode := range kvfetch.Modes() {
		modes = append(modes, string(mode))
	}
	remoteModes := make([]string, 0, len(locality.Modes()))
	for _, mode := range locality.Modes() {
		remoteModes = append(remoteModes, string(mode))
	}
	en := &Entry{
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
		KVFetch:       kvfetch.Mode(rd.choice("KVFetch", modes[0], modes...)),
		RemoteTraffic: locality.Mode(rd.choice("RemoteTraffic", remoteModes[0], remoteModes...)),
		RetryRatio:    rd.ratio("RetryRatio", 0.2, 0, 1),
		RetrySlack:    rd.ratio("RetrySlack", 100, 0, maxRetrySlack),
		RetryWindow:   rd.duration("RetryWindow", 10*time.Second, time.Second, maxDuration),
		ColdOverrun:   rd.ratio("ColdOverrun", warmup.DefaultOverrun, 0, maxFactor),
		ColdTolerance: rd.ratio("ColdTolerance", warmup.DefaultTolerance, 0, maxFactor),
		LogLevel:      rd.choice("LogLevel", "info", "debug", "info", "warn", "error"),
	}
	rd.readRegions(en)
	return en
}

// readRegions reads the regions of the host and of all data centres. An empty text stands for an unknown region.
func (rd *reader) readRegions(en *Entry) {
	en.Region = rd.region("Region")
	en.Regions = map[chestnutroad.DataCentreID]chestnutroad.RegionID{}
	if inner := rd.table("Regions"); inner != nil {
		for _, name := range slices.Sorted(maps.Keys(inner.tb.entries)) {
			if region := inner.region(name); region != "" {
				en.Regions[chestnutroad.DataCentreID(name)] = region
			}
		}
	}
	listed := en.Regions[en.DataCentre]
	switch {
	case en.Region == "":
		en.Region = listed
	case listed == "":
		en.Regions[en.DataCentre] = en.Region
	case listed != en.Region:
		rd.errorf("Region", rd.tb.entries["Region"], "is %q, but Regions has %q for the data centre %s", en.Region, listed, en.DataCentre)
	}
}

func (rd *reader) region(key string) chestnutroad.RegionID {
	en := rd.lookup(key)
	if en == nil {
		return ""
	}
	text, isText := en.value.(string)
	if !isText {
		rd.reportType(key, en, "a text")
	}
	return chestnutroad.RegionID(text)
}

// mechanismSet reads a list of names of mechanisms.
func (rd *reader) mechanismSet(key string) mechanism.Set {
	set := mechanism.Set{}
	names := rd.texts(key, func(text string) string {
		if slices.Contains(mechanism.Names(), mechanism.Name(text)) {
			return ""
		}
		return fmt.Sprintf("%q is not a mechanism; the mechanisms are %v", text, mechanism.Names())
	})
	for _, name := range names {
		set[mechanism.Name(name)] = true
	}
	return set
}

// requiredPort reads a port number and reports a missing key.
func (rd *reader) requiredPort(key string) int {
	if rd.tb.entries[key] == nil {
		rd.used[key] = true
		rd.reportMissing(key)
		return 0
	}
	return int(rd.count(key, 0, 1, maxPort))
}

// addresses reads a list of IP addresses with ports of other machines.
func (rd *reader) addresses(key string) []netip.AddrPort {
	texts := rd.texts(key, func(text string) string {
		_, message := parseAddress(text, true)
		return message
	})
	addresses := make([]netip.AddrPort, 0, len(texts))
	for _, text := range texts {
		if address, message := parseAddress(text, true); message == "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
