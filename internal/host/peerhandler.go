package host

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/peer"
	"github.com/chestnutroad/chestnutroad/internal/peer/peerpb"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// peerHandler serves the calls of other hosts.
type peerHandler struct{ host *Host }

var _ peer.Handler = (*peerHandler)(nil)

// Forward runs a request whose shard this host owns. It returns a redirect if the owner leaves the request to another shard,
// and the highest known epoch if this host does not own the shard.
func (ph *peerHandler) Forward(
	ctx context.Context, head *peerpb.RequestHead, body []byte, answer chestnutroad.Answer,
) error {
	id := ph.shardID(head.GetService(), head.GetDataCentre())
	request := requestFromHead(head)
	call := callFromHead(head, body)
	err := ph.host.serveForwarded(ctx, id, request, call, answer, int(head.GetRedirects()))
	var redirected *redirect
	switch {
	case errors.As(err, &redirected):
		return &peer.Redirect{DataCentre: redirected.Shard.DataCentre}
	case errors.Is(err, errNotOwner):
		return &peer.NotOwner{Epoch: ph.host.peers.Epoch(id)}
	default:
		return err
	}
}

// FetchState returns the requested state of a shard, the configuration or the orders.
func (ph *peerHandler) FetchState(
	_ context.Context, request *peerpb.FetchStateRequest,
) (*peerpb.FetchStateAnswer, error) {
	state, err := ph.state(request)
	if errors.Is(err, errNotOwner) {
		return &peerpb.FetchStateAnswer{NotOwner: true}, nil
	}
	if err != nil {
		return nil, err
	}
	return &peerpb.FetchStateAnswer{State: state}, nil
}

func (ph *peerHandler) state(request *peerpb.FetchStateRequest) ([]byte, error) {
	switch stateKind(request.GetKind()) {
	case stateConfiguration:
		return ph.host.configuration.export()
	case stateOrders:
		return ph.host.orders.export()
	case stateShard, stateOwner:
		sh := ph.host.ownership.localShard(ph.shardID(request.GetService(), request.GetDataCentre()))
		if sh == nil {
			return nil, errNotOwner
		}
		if stateKind(request.GetKind()) == stateOwner {
			return nil, nil
		}
		return sh.export(), nil
	default:
		return nil, errors.Newf("unknown kind of state %q", request.GetKind())
	}
}

// HandOver stores the state of a shard that its owner hands over to this host.
func (ph *peerHandler) HandOver(_ context.Context, request *peerpb.HandOverRequest) (*peerpb.HandOverAnswer, error) {
	id := ph.shardID(request.GetService(), request.GetDataCentre())
	epoch := chestnutroad.Epoch{Millis: request.GetEpochMillis(), Host: chestnutroad.HostID(request.GetEpochHost())}
	ph.host.ownership.receiveState(id, epoch, request.GetState())
	return &peerpb.HandOverAnswer{Taken: true}, nil
}

func (ph *peerHandler) shardID(service, dataCentre string) chestnutroad.ShardID {
	return chestnutroad.ShardID{
		Pool: chestnutroad.PoolID{
			Site: ph.host.settings.Site, Service: chestnutroad.ServiceID(service),
		},
		DataCentre: chestnutroad.DataCentreID(dataCentre),
	}
}

// newRequestHead encodes a request for the owner of its shard.
func newRequestHead(
	id chestnutroad.ShardID, request *chestnutroad.Request, call *chestnutroad.Call, redirects int,
) *peerpb.RequestHead {
	head := &peerpb.RequestHead{
		Id:              string(request.ID),
		Team:            string(request.Team),
		Service:         string(request.Service),
		Chat:            uint64(request.Chat),
		Priority:        int32(request.Priority),
		Repeat:          string(request.Repeat),
		Key:             string(request.Key),
		PromptTokens:    int64(request.Prompt),
		MaxOutputTokens: int64(request.MaxOutput),
		Method:          call.Method,
		Path:            call.Path,
		ResumeAt:        int64(call.ResumeAt),
		Attempt:         int32(call.Attempt),
		DataCentre:      string(id.DataCentre),
		Redirects:       int32(redirects),
		Headers:         peer.ProtoHeader(call.Header),
		Streamed:        isChat(request),
	}
	if !request.Deadline.IsZero() {
		head.TimeoutNanos = int64(time.Until(request.Deadline))
	}
	return head
}

// requestFromHead decodes a request. The head holds the time left until the deadline, since the hosts' clocks differ.
func requestFromHead(head *peerpb.RequestHead) *chestnutroad.Request {
	request := &chestnutroad.Request{
		ID:        chestnutroad.RequestID(head.GetId()),
		Team:      chestnutroad.TeamID(head.GetTeam()),
		Service:   chestnutroad.ServiceID(head.GetService()),
		Chat:      chestnutroad.ChatID(head.GetChat()),
		Priority:  chestnutroad.Priority(head.GetPriority()),
		Repeat:    chestnutroad.Repeat(head.GetRepeat()),
		Key:       chestnutroad.IdempotencyKey(head.GetKey()),
		Prompt:    chestnutroad.Tokens(head.GetPromptTokens()),
		MaxOutput: chestnutroad.Tokens(head.GetMaxOutputTokens()),
		Arrived:   time.Now(),
	}
	if left := head.GetTimeoutNanos(); left != 0 {
		request.Deadline = request.Arrived.Add(time.Duration(left))
	}
	return request
}

// callFromHead decodes the call of a request.
func callFromHead(head *peerpb.RequestHead, body []byte) *chestnutroad.Call {
	return &chestnutroad.Call{
		Request:  chestnutroad.RequestID(head.GetId()),
		Attempt:  int(head.GetAttempt()),
		Method:   head.GetMethod(),
		Path:     head.GetPath(),
		Header:   peer.HTTPHeader(head.GetHeaders()),
		Body:     body,
		Repeat:   chestnutroad.Repeat(head.GetRepeat()),
		ResumeAt: chestnutroad.Tokens(head.GetResumeAt()),
	}
}

// export returns the encoded order state, for a host that can't read it from the log.
func (or *orders) export() ([]byte, error) {
	or.mu.Lock()
	defer or.mu.Unlock()
	state, found := or.machine.Export()
	if !found {
		return nil, errors.New("no order state has been read yet")
	}
	return json.Marshal(state)
}

// importState passes a peer's order state to the machine, which uses it if it is newer than its own.
func (or *orders) importState(data []byte) error {
	var state record.Snapshot
	if err := json.Unmarshal(data, &state); err != nil {
		return errors.Wrap(err, "decode a peer's order state")
	}
	or.mu.Lock()
	defer or.mu.Unlock()
	for _, action := range or.machine.Import(or.now(), state) {
		or.carryOut(action)
	}
	return nil
}
