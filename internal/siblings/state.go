package siblings

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/relay"
	"github.com/chestnutroad/chestnutroad/internal/resumption"
)

// StateRequest describes the state that the requesting host already has.
type StateRequest struct {
	Version chestnutroad.Version
	// Position is the end of the records of the targets that it has read.
	Position chestnutroad.Position
	// HostList is a hash of its list of hosts.
	HostList uint64
	// AwaitConfiguration is true when the answer should wait for a short time until the called host has a configuration, since
	// both hosts may be starting.
	AwaitConfiguration bool `json:",omitempty"`
	// Stream asks at which software version of the Service's targets a stream began; zero for no stream.
	Stream  resumption.StreamID    `json:",omitempty"`
	Service chestnutroad.ServiceID `json:",omitempty"`
	// Starts holds streams that began at the requesting host, as a record of the log, into which the called host is to write them.
	Starts []byte `json:",omitempty"`
	// AwaitLog is true if the called host is to answer only once the Starts are in the log.
	AwaitLog bool `json:",omitempty"`
	// Relayed is true if the Starts are those of another data centre, whose relay can't reach the log. AwaitLog is set, too.
	Relayed bool `json:",omitempty"`
	// Held is true if the called host is to answer from memory, without a read of the log or a call to others.
	Held bool `json:",omitempty"`
}

// State is the part of a host's state that the requesting host does not have yet.
type State struct {
	// Version is zero when the requesting host's version is not older.
	Version chestnutroad.Version
	// Configuration is the compressed text of the configuration with this version.
	Configuration []byte `json:",omitempty"`
	// Position is the end of the records that Targets or AllTargets reflects.
	Position chestnutroad.Position
	// Targets are the records changed since the requesting host's position.
	Targets []chestnutroad.KeyedRecord `json:",omitempty"`
	// AllTargets are all records, compressed, when the changes since the requesting host's position are not available.
	AllTargets []byte `json:",omitempty"`
	// ConfigurationAge and TargetsAge state how old the answering host's copies of the store may be; zero stands for unknown.
	ConfigurationAge time.Duration `json:",omitempty"`
	TargetsAge       time.Duration `json:",omitempty"`
	// Evacuations is the list of evacuated data centres; omitted as long as the host has seen no evacuation.
	Evacuations *chestnutroad.EvacuationList `json:",omitempty"`
	// Hosts is omitted when the requesting host has the same list.
	Hosts []relay.Host `json:",omitempty"`
	// Start states where the stream of the request began, if the host knows. StartsRead is true if the host has read the log of starts
	// since the request, so that the stream is not there without a Start; the host first missed it StartMissed ago.
	Start       *resumption.Start `json:",omitempty"`
	StartsRead  bool              `json:",omitempty"`
	StartMissed time.Duration     `json:",omitempty"`
	// Versions are the versions at which streams of the request's service may have begun before the request, omitted if the host could
	// not read them.
	Versions []chestnutroad.SoftwareVersion `json:",omitempty"`
	// StartsTaken is true if the host writes the Starts of the request to the log.
	StartsTaken bool `json:",omitempty"`
	// StartsLogged is true if the Starts of the request are in the log.
	StartsLogged bool `json:",omitempty"`
	// VersionsInUse are sent with the answer to a request with Starts, if the host knows them.
	VersionsInUse *VersionsInUse `json:",omitempty"`
}

// VersionsInUse holds the software versions in use by service that the store held at a position.
type VersionsInUse struct {
	Position chestnutroad.Position
	Sets     map[chestnutroad.ServiceID]resumption.VersionSet
}

// StateSource provides this host's state for requests of other hosts.
type StateSource interface {
	// State returns the part of this host's state that the requesting host does not have yet.
	State(ctx context.Context, request *StateRequest) *State
}

const (
	stateCall = "/Siblings/State"
	// maxStateSize bounds the message of a call and a decompressed text in bytes; a configuration of 500 rules has 150 KB.
	maxStateSize = 8 << 20
	// callTimeout bounds a state call, including the time to connect.
	callTimeout = 800 * time.Millisecond
)

// jsonEncoding encodes the messages of calls as JSON; calls are rare, so its cost doesn't matter.
type jsonEncoding struct{}

// Marshal returns the JSON text of a message.
func (jsonEncoding) Marshal(message drpc.Message) ([]byte, error) { return json.Marshal(message) }

// Unmarshal decodes the JSON text of a message.
func (jsonEncoding) Unmarshal(data []byte, message drpc.Message) error {
	return json.Unmarshal(data, message)
}

// serviceDescription describes the calls of the service to drpc.
type serviceDescription struct{}

// NumMethods returns the number of calls.
func (serviceDescription) NumMethods() int { return 1 }

// Method returns the name, the encoding, the handler and the method of the call with the index.
func (serviceDescription) Method(index int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if index != 0 {
		return "", nil, nil, nil, false
	}
	receive := func(server any, ctx context.Context, request, _ any) (drpc.Message, error) {
		return server.(*stateServer).State(ctx, request.(*StateRequest))
	}
	return stateCall, jsonEncoding{}, receive, (*stateServer).State, true
}

type stateServer struct{ source StateSource }

// State handles one state call.
func (sv *stateServer) State(ctx context.Context, request *StateRequest) (*State, error) {
	return sv.source.State(ctx, request), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxStateSize}}
}

// Serve handles the state calls of other hosts at the address until ctx is done.
func Serve(ctx context.Context, address string, source StateSource) error {
	mux := drpcmux.New()
	if err := mux.Register(&stateServer{source: source}, serviceDescription{}); err != nil {
		return errors.Wrap(err, "register state calls")
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for state calls")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return errors.Wrap(server.Serve(ctx, listener), "serve state calls")
}

// Fetch requests from the host at the address the part of its state that this host does not have yet.
func Fetch(ctx context.Context, address string, request *StateRequest) (*State, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect for state call")
	}
	conn := drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})
	defer func() { _ = conn.Close() }()
	var state State
	if err := conn.Invoke(ctx, stateCall, jsonEncoding{}, request, &state); err != nil {
		return nil, errors.Wrap(err, "state call")
	}
	return &state, nil
}
