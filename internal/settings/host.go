package settings

import (
	"crypto/tls"
	"encoding/hex"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/chestnutroad/chestnutroad"
)

// Host holds the process settings of one serve process.
type Host struct {
	ID         chestnutroad.HostID
	Site       chestnutroad.SiteID
	DataCentre chestnutroad.DataCentreID

	// CallerAddress is where callers connect; an empty address of a listener means that it is off.
	CallerAddress netip.AddrPort
	// PeerAddress is where other hosts connect and send datagrams.
	PeerAddress netip.AddrPort
	// OperatorAddress serves metrics, health, readiness and status.
	OperatorAddress netip.AddrPort
	// Peers are some other hosts, to join by.
	Peers []Peer
	// LogAddress is the platform's log service.
	LogAddress netip.AddrPort
	// HostListAddress is the platform's host list.
	HostListAddress netip.AddrPort

	// ClusterKey authenticates messages between hosts.
	ClusterKey []byte
	// CertificateFile and KeyFile turn on TLS towards callers.
	CertificateFile string
	KeyFile         string
	// TimelineFile receives events; empty turns them off.
	TimelineFile string
	// LogLevel is the least level that is logged.
	LogLevel string
	// Profiling opens /debug/pprof on the operators' port.
	Profiling bool
	// Values lists each key with its value and origin; the cluster key's value is left out.
	Values []Value
}

// Peer is another host that a new one joins by. The id is needed, since each control message is signed for its receiver.
type Peer struct {
	ID      chestnutroad.HostID
	Address netip.AddrPort
}

const minClusterKeyBytes = 32

// LoadHost reads the process settings of a host; relative files in it are relative to its own directory.
func LoadHost(path string) (*Host, error) {
	files, err := readFiles([]string{path})
	if err != nil {
		return nil, err
	}
	return ParseHost(files[0])
}

// ParseHost checks the process settings of a host; faults come back as Errors.
func ParseHost(fl File) (*Host, error) {
	rp := newReport([]File{fl})
	tb, readable := parseFile(fl, rp)
	root := newReader(rp, tb, !readable)
	if root.tb.entries["Host"] == nil {
		root.reportMissing("Host")
	}
	var ht *Host
	if rd := root.table("Host"); rd != nil {
		ht = readHost(rd, filepath.Dir(fl.Name))
		ht.Values = sortValues(*root.values)
	}
	root.reportUnknownKeys()
	if err := rp.err(); err != nil {
		return nil, err
	}
	return ht, nil
}

func readHost(rd *reader, directory string) *Host {
	ht := &Host{
		ID:              chestnutroad.HostID(rd.hostID("ID")),
		Site:            chestnutroad.SiteID(rd.hostID("Site")),
		DataCentre:      chestnutroad.DataCentreID(rd.hostID("DataCentre")),
		CallerAddress:   rd.requiredAddress("CallerAddress", false),
		PeerAddress:     rd.requiredAddress("PeerAddress", false),
		OperatorAddress: rd.requiredAddress("OperatorAddress", false),
		Peers:           readPeers(rd),
		LogAddress:      rd.requiredAddress("LogAddress", true),
		HostListAddress: rd.requiredAddress("HostListAddress", true),
		ClusterKey:      readClusterKey(rd, directory),
		CertificateFile: rd.filePath("CertificateFile", directory),
		KeyFile:         rd.filePath("KeyFile", directory),
		TimelineFile:    rd.filePath("TimelineFile", directory),
		LogLevel:        rd.choice("LogLevel", "info", "debug", "info", "warn", "error"),
		Profiling:       rd.flag("Profiling", false),
	}
	rd.checkCertificate(ht)
	rd.checkAdvertised("PeerAddress", ht.PeerAddress)
	rd.reportUnknownKeys()
	return ht
}

func (rd *reader) hostID(key string) string {
	text := rd.requiredText(key)
	if fault := checkID(text); text != "" && fault != "" {
		rd.errorf(key, rd.tb.entries[key], "%s", fault)
	}
	return text
}

func (rd *reader) requiredAddress(key string, remote bool) netip.AddrPort {
	if rd.tb.entries[key] == nil {
		rd.used[key] = true
		rd.reportMissing(key)
		return netip.AddrPort{}
	}
	return rd.address(key, remote)
}

// readPeers reads the table of peers; its keys are host ids.
func readPeers(rd *reader) []Peer {
	only := rd.table("Peers")
	if only == nil {
		return nil
	}
	peers := make([]Peer, 0, len(only.tb.entries))
	for _, id := range slices.Sorted(maps.Keys(only.tb.entries)) {
		if fault := checkID(id); fault != "" {
			only.errorf(id, only.tb.entries[id], "%s", fault)
		}
		peers = append(peers, Peer{ID: chestnutroad.HostID(id), Address: only.address(id, true)})
	}
	only.reportUnknownKeys()
	return peers
}

// checkAdvertised reports an address that other hosts could not connect to.
func (rd *reader) checkAdvertised(key string, address netip.AddrPort) {
	if address.IsValid() && address.Addr().IsUnspecified() {
		rd.errorf(key, rd.tb.entries[key], "%s is no address that other hosts can connect to", address)
	}
}

// checkCertificate reports a certificate without its key, and a pair that can't be used.
func (rd *reader) checkCertificate(ht *Host) {
	rd.requireBoth("CertificateFile", "KeyFile")
	if ht.CertificateFile == "" || ht.KeyFile == "" {
		return
	}
	if _, err := tls.LoadX509KeyPair(ht.CertificateFile, ht.KeyFile); err != nil {
		rd.errorf("CertificateFile", rd.tb.entries["CertificateFile"], "the certificate and key can't be used: %s", err)
	}
}

// requireBoth reports one of two keys that stands without the other.
func (rd *reader) requireBoth(one, two string) {
	first, second := rd.tb.entries[one], rd.tb.entries[two]
	if first != nil && second == nil {
		rd.errorf(one, first, "needs %s too", two)
	}
	if second != nil && first == nil {
		rd.errorf(two, second, "needs %s too", one)
	}
}

func (rd *reader) filePath(key, directory string) string {
	text := rd.optionalText(key)
	if text == "" || filepath.IsAbs(text) {
		return text
	}
	return filepath.Join(directory, text)
}

// readClusterKey takes the key from its own key or from a file, exactly one of them.
func readClusterKey(rd *reader, directory string) []byte {
	value, file := rd.lookup("ClusterKey"), rd.lookup("ClusterKeyFile")
	switch {
	case value != nil && file != nil:
		rd.errorf("ClusterKeyFile", file, "is stated together with ClusterKey; state one of them")
		return nil
	case value != nil:
		text, en := rd.text("ClusterKey", "a text of hexadecimal digits")
		if en == nil {
			return nil
		}
		return rd.decodeClusterKey("ClusterKey", en, text)
	case file != nil:
		return rd.readClusterKeyFile(file, directory)
	default:
		rd.reportMissing("ClusterKeyFile")
		return nil
	}
}

func (rd *reader) readClusterKeyFile(en *entry, directory string) []byte {
	path := rd.filePath("ClusterKeyFile", directory)
	if path == "" {
		return nil
	}
	text, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		rd.errorf("ClusterKeyFile", en, "the file can't be read: %s", err)
		return nil
	}
	return rd.decodeClusterKey("ClusterKeyFile", en, strings.TrimSpace(string(text)))
}

func (rd *reader) decodeClusterKey(key string, en *entry, text string) []byte {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) < minClusterKeyBytes {
		rd.errorf(key, en, "the cluster key must be at least %d bytes in hexadecimal digits", minClusterKeyBytes)
		return nil
	}
	return raw
}

// Check returns Errors when the settings don't know the host's site or data centre.
func (ht *Host) Check(st *Settings) error {
	rp := newReport(nil)
	ef, known := st.Effective(ht.Site)
	if !known {
		ht.errorf(rp, "Host.Site", "no site is named %q", string(ht.Site))
		return rp.err()
	}
	if !ef.Site.HasDataCentre(ht.DataCentre) {
		ht.errorf(rp, "Host.DataCentre", "site %s has no data centre named %q", ht.Site, string(ht.DataCentre))
	}
	return rp.err()
}

func (ht *Host) errorf(rp *report, key, format string, arguments ...any) {
	for _, value := range ht.Values {
		if value.Key == key {
			rp.addf(value.File, value.Line, key, format, arguments...)
		}
	}
}
