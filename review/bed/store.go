package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// The sizes of a page of newest records.
const (
	pageEntries = 500
	pageBytes   = 1 << 20
)

// entry is a record of a keyed topic.
type entry struct {
	key   string
	value []byte
}

// pagedStore is a store whose pages are as large as the pages of the platform say. It never forgets a record.
type pagedStore struct {
	server  *http.Server
	address string

	mu      sync.Mutex
	topics  map[string][]entry
	changed chan struct{}
}

func newPagedStore() (*pagedStore, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // The close method closes the listener.
	if err != nil {
		return nil, err
	}
	ps := &pagedStore{address: listener.Addr().String(), topics: map[string][]entry{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", ps.append)
	mux.HandleFunc("GET /log-read", ps.read)
	mux.HandleFunc("GET /log-newest", ps.newest)
	ps.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = ps.server.Serve(listener) }()
	return ps, nil
}

// put appends a record and returns the end offset of its topic.
func (ps *pagedStore) put(topic, key string, value []byte) int {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.topics[topic] = append(ps.topics[topic], entry{key: key, value: slices.Clone(value)})
	close(ps.changed)
	ps.changed = make(chan struct{})
	return len(ps.topics[topic])
}

// PutConfiguration writes the operators' configuration.
func (ps *pagedStore) PutConfiguration(text string) { ps.put("keyed.op", "config", []byte(text)) }

// PutTarget writes the entry of a runner.
func (ps *pagedStore) PutTarget(id, text string) { ps.put("keyed.servers", id, []byte(text)) }

// Configure writes the configuration that the project's own stand-in writes.
func (ps *pagedStore) Configure(version, orderAttempts int, keys ...string) {
	other := standin.NewStore()
	defer other.Close()
	other.Configure(version, orderAttempts, keys...)
	resp, err := http.Get("http://" + other.Address().String() + "/log-newest?topic=keyed.op&part=0") //nolint:noctx // On this machine.
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var page struct {
		Entries []struct {
			Data []byte `json:"data"`
		} `json:"entries"`
	}
	if json.NewDecoder(resp.Body).Decode(&page) == nil && len(page.Entries) == 1 {
		ps.PutConfiguration(string(page.Entries[0].Data))
	}
}

// Address returns the IP address and port of the store.
func (ps *pagedStore) Address() netip.AddrPort { return netip.MustParseAddrPort(ps.address) }

// Close stops the store.
func (ps *pagedStore) Close() { _ = ps.server.Close() }

func (ps *pagedStore) append(writer http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil || len(body) < 5 || len(body) < 5+int(body[4]) {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	end := 5 + int(body[4])
	offset := ps.put(req.URL.Query().Get("topic"), string(body[5:end]), body[end:])
	reply(writer, map[string]any{"offset": offset - 1, "end_offset": offset})
}

func (ps *pagedStore) read(writer http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	from, _ := strconv.Atoi(query.Get("source"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; waiting; {
		ps.mu.Lock()
		records, changed := ps.topics[query.Get("topic")], ps.changed
		ps.mu.Unlock()
		if from > len(records) {
			writer.WriteHeader(http.StatusGone)
			return
		}
		if from < len(records) {
			break
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-req.Context().Done():
			return
		}
	}
	ps.mu.Lock()
	records := ps.topics[query.Get("topic")]
	ps.mu.Unlock()
	data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, rc := range records[min(from, len(records)):] {
		if len(data) > pageBytes {
			break
		}
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(rc.key)+len(rc.value)))
		data = append(append(append(data, byte(len(rc.key))), rc.key...), rc.value...)
	}
	_, _ = writer.Write(data)
}

func (ps *pagedStore) newest(writer http.ResponseWriter, req *http.Request) {
	ps.mu.Lock()
	records := ps.topics[req.URL.Query().Get("topic")]
	ps.mu.Unlock()
	offsets := map[string]int{}
	for offset, rc := range records {
		offsets[rc.key] = offset
	}
	var keys []string
	for key, offset := range offsets {
		if len(records[offset].value) > 0 && key > req.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	entries, size := []map[string]any{}, 0
	for _, key := range keys {
		value := records[offsets[key]].value
		if len(entries) == pageEntries || size+len(value) > pageBytes && size > 0 {
			break
		}
		size += len(value)
		entries = append(entries, map[string]any{
			"key": key, "offset": offsets[key], "data": base64.StdEncoding.EncodeToString(value),
		})
	}
	reply(writer, map[string]any{"entries": entries, "has_more": len(entries) < len(keys), "end_offset": len(records)})
}

func reply(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
