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
)

// StateRequest says what the asking host holds.
type StateRequest struct {
	Version chestnutroad.Version
	// Position is the end of the records of the targets that it holds.
	Position chestnutroad.Position
	// HostList is a hash of the list of hosts.
	HostList uint64
}

// State is what a host holds beyond the asking host's; what the asking host holds already is left out.
type State struct {
	Version chestnutroad.Version
	// Configuration is the packed text.
	Configuration []byte `json:",omitempty"`
	// Position is the end of the records that Targets results from.
	Position chestnutroad.Position
	Targets  []chestnutroad.KeyedRecord `json:",omitempty"`
	// AllTargets are all records, packed, in place of the changes since the asking host's position.
	AllTargets []byte `json:",omitempty"`
	// Hosts is left out when the asking host has the same list.
	Hosts []relay.Host `json:",omitempty"`
}

// StateSource returns what this host holds beyond the request.
type StateSource interface {
	State(request *StateRequest) *State
}

const (
	stateCall = "/Siblings/State"
	// maxState bounds a call's memory; a configuration of 500 rules takes 150 KB.
	maxState = 8 << 20
	// callTimeout bounds a state call with its connection.
	callTimeout = 800 * time.Millisecond
)

// jsonEncoding encodes the messages of calls, which are rare.
type jsonEncoding struct{}

// Marshal returns the JSON text of a message.
func (jsonEncoding) Marshal(message drpc.Message) ([]byte, error) { return json.Marshal(message) }

// Unmarshal reads the JSON text of a message.
func (jsonEncoding) Unmarshal(data []byte, message drpc.Message) error {
	return json.Unmarshal(data, message)
}

// service describes the calls that a host serves.
type service struct{}

// NumMethods returns the number of calls.
func (service) NumMethods() int { return 1 }

// Method returns the call of the index.
func (service) Method(index int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if index != 0 {
		return "", nil, nil, nil, false
	}
	receive := func(server any, ctx context.Context, request, _ any) (drpc.Message, error) {
		return server.(*stateServer).State(ctx, request.(*StateRequest))
	}
	return stateCall, jsonEncoding{}, receive, (*stateServer).State, true
}

type stateServer struct{ source StateSource }

// State serves one state call.
func (sv *stateServer) State(_ context.Context, request *StateRequest) (*State, error) {
	return sv.source.State(request), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxState}}
}

// Serve serves the state calls of other hosts until ctx ends.
func Serve(ctx context.Context, address string, source StateSource) error {
	mux := drpcmux.New()
	if err := mux.Register(&stateServer{source: source}, service{}); err != nil {
		return errors.Wrap(err, "state calls")
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for other hosts")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return errors.Wrap(server.Serve(ctx, listener), "state calls")
}

// Fetch asks the host at the address for what it holds beyond the request.
func Fetch(ctx context.Context, address string, request *StateRequest) (*State, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "state call")
	}
	conn := drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})
	defer func() { _ = conn.Close() }()
	var answer State
	if err := conn.Invoke(ctx, stateCall, jsonEncoding{}, request, &answer); err != nil {
		return nil, errors.Wrap(err, "state call")
	}
	return &answer, nil
}
