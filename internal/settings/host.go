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

// Host holds the settings of one serve process.
type Host struct {
	ID         chestnutroad.HostID
	Site       chestnutroad.SiteID
	DataCentre chestnutroad.DataCentreID

	// CallerAddress is the listen address for callers.
	CallerAddress netip.AddrPort
	// PeerAddress is the listen address for connections and datagrams from other hosts.
	PeerAddress netip.AddrPort
	// OperatorAddress is the listen address for metrics, health, readiness and status.
	OperatorAddress netip.AddrPort
	// Peers are other hosts through which this one joins the fleet.
	Peers []Peer
	// LogAddress is the address of the platform's log service.
	LogAddress netip.AddrPort
	// HostListAddress is the address of the platform's host list.
	HostListAddress netip.AddrPort

	// ClusterKey authenticates messages between hosts.
	ClusterKey []byte
	// CertificateFile and KeyFile enable TLS for callers.
	CertificateFile string
	KeyFile         string
	// TimelineFile is the file to which events are written; empty disables them.
	TimelineFile string
	// LogLevel is the lowest level that is logged.
	LogLevel string
	// Profiling serves /debug/pprof at OperatorAddress.
	Profiling bool
	// Values lists the keys in order with value and origin, but not the cluster key.
	Values []Value
}

// Peer is a host through which a new one joins the fleet. It has an id, since each control message is signed for its receiver.
type Peer struct {
	ID      chestnutroad.HostID
	Address netip.AddrPort
}

const minClusterKeyBytes = 32

// LoadHost reads and parses the file with the process settings of a host. Relative paths in the file are relative to its
// directory.
func LoadHost(path string) (*Host, error) {
	files, err := readFiles([]string{path})
	if err != nil {
		return nil, err
	}
	return ParseHost(files[0])
}

// ParseHost parses the process settings of a host and checks the files that they name. Errors in the settings are returned as
// Errors.
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
	if message := checkID(text); text != "" && message != "" {
		rd.errorf(key, rd.tb.entries[key], "%s", message)
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

// readPeers reads the table of peers, whose keys are host ids.
func readPeers(rd *reader) []Peer {
	peerTable := rd.table("Peers")
	if peerTable == nil {
		return nil
	}
	peers := make([]Peer, 0, len(peerTable.tb.entries))
	for _, id := range slices.Sorted(maps.Keys(peerTable.tb.entries)) {
		if message := checkID(id); message != "" {
			peerTable.errorf(id, peerTable.tb.entries[id], "%s", message)
		}
		peers = append(peers, Peer{ID: chestnutroad.HostID(id), Address: peerTable.address(id, true)})
	}
	peerTable.reportUnknownKeys()
	return peers
}

// checkAdvertised reports an address that other hosts could not connect to.
func (rd *reader) checkAdvertised(key string, address netip.AddrPort) {
	if address.IsValid() && address.Addr().IsUnspecified() {
		rd.errorf(key, rd.tb.entries[key], "%s is no address that other hosts can connect to", address)
	}
}

// checkCertificate reports a certificate without a key, a key without a certificate and a pair that can't be loaded.
func (rd *reader) checkCertificate(ht *Host) {
	rd.requireBoth("CertificateFile", "KeyFile")
	if ht.CertificateFile == "" || ht.KeyFile == "" {
		return
	}
	if _, err := tls.LoadX509KeyPair(ht.CertificateFile, ht.KeyFile); err != nil {
		rd.errorf("CertificateFile", rd.tb.entries["CertificateFile"], "the certificate and key can't be used: %s", err)
	}
}

// requireBoth reports a key that is set without the other one.
func (rd *reader) requireBoth(keyA, keyB string) {
	entryA, entryB := rd.tb.entries[keyA], rd.tb.entries[keyB]
	if entryA != nil && entryB == nil {
		rd.errorf(keyA, entryA, "needs %s too", keyB)
	}
	if entryB != nil && entryA == nil {
		rd.errorf(keyB, entryB, "needs %s too", keyA)
	}
}

func (rd *reader) filePath(key, directory string) string {
	text := rd.optionalText(key)
	if text == "" || filepath.IsAbs(text) {
		return text
	}
	return filepath.Join(directory, text)
}

// readClusterKey reads the cluster key from ClusterKey or from the file of ClusterKeyFile. Exactly one of them must be set.
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

// Check returns Errors if the settings lack the host's site, or the site lacks the host's data centre.
func (ht *Host) Check(st *Settings) error {
	rp := newReport(nil)
	ef, found := st.Effective(ht.Site)
	if !found {
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
