package host

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/host/hostpb"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/peer"
	"github.com/chestnutroad/chestnutroad/internal/peer/peerpb"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// siteLink connects the host to the other hosts of its site, by datagrams and drpc.
type siteLink struct {
	*peer.Peer
	site   chestnutroad.SiteID
	client *peer.Client
}

var _ peers = (*siteLink)(nil)

// MachineLeaving reports whether the host list or a peer has announced that a listed machine is leaving.
func (sl *siteLink) MachineLeaving(name string) bool {
	return slices.Contains(sl.LeavingMachines(), name)
}

// SendSummary sends a load summary to another host within the control budget.
func (sl *siteLink) SendSummary(to chestnutroad.HostID, summary pool.Summary) {
	data, err := proto.Marshal(&hostpb.LoadSummary{
		Service:        string(summary.Shard.Pool.Service),
		DataCentre:     string(summary.Shard.DataCentre),
		EpochMillis:    summary.Epoch.Millis,
		EpochHost:      string(summary.Epoch.Host),
		Targets:        int64(summary.Targets),
		Work:           int64(summary.Work),
		Queued:         int64(summary.Queued),
		Drained:        int64(summary.Drained),
		TakenUnixNanos: summary.Taken.UnixNano(),
	})
	if err == nil {
		sl.SendPayload(to, member.LoadSummary, data)
	}
}

// decodeSummary decodes the load summary of a shard of the site.
func decodeSummary(site chestnutroad.SiteID, data []byte) (pool.Summary, error) {
	var message hostpb.LoadSummary
	if err := proto.Unmarshal(data, &message); err != nil {
		return pool.Summary{}, errors.Wrap(err, "decode a load summary")
	}
	return pool.Summary{
		Shard: chestnutroad.ShardID{
			Pool:       chestnutroad.PoolID{Site: site, Service: chestnutroad.ServiceID(message.GetService())},
			DataCentre: chestnutroad.DataCentreID(message.GetDataCentre()),
		},
		Epoch:   chestnutroad.Epoch{Millis: message.GetEpochMillis(), Host: chestnutroad.HostID(message.GetEpochHost())},
		Targets: int(message.GetTargets()),
		Work:    chestnutroad.WorkUnits(message.GetWork()),
		Queued:  int(message.GetQueued()),
		Drained: chestnutroad.WorkUnits(message.GetDrained()),
		Taken:   time.Unix(0, message.GetTakenUnixNanos()),
	}, nil
}

// Forward sends a request to the owner of its shard. It returns errNotOwner for a host that can't be reached, since
// membership soon chooses another owner.
func (sl *siteLink) Forward(
	ctx context.Context, to member.HostView, shard chestnutroad.ShardID, request *chestnutroad.Request,
	call *chestnutroad.Call, answer chestnutroad.Answer, redirects int,
) error {
	err := sl.client.Forward(ctx, to.PeerAddress, newRequestHead(shard, request, call, redirects), call.Body, answer)
	var redirected *peer.Redirect
	var notOwner *peer.NotOwner
	switch {
	case errors.As(err, &redirected):
		return &redirect{Shard: chestnutroad.ShardID{Pool: shard.Pool, DataCentre: redirected.DataCentre}}
	case errors.As(err, &notOwner):
		sl.ObserveEpoch(shard, notOwner.Epoch)
		return errNotOwner
	case peer.NotReached(err):
		return errNotOwner
	default:
		return err
	}
}

// FetchState fetches state of the kind from a host, or returns errNotOwner if the host does not own the shard.
func (sl *siteLink) FetchState(
	ctx context.Context, to member.HostView, kind stateKind, shard chestnutroad.ShardID,
) ([]byte, error) {
	answer, err := sl.client.FetchState(ctx, to.PeerAddress, &peerpb.FetchStateRequest{
		Kind:       string(kind),
		Service:    string(shard.Pool.Service),
		DataCentre: string(shard.DataCentre),
	})
	if err == nil && answer.GetNotOwner() {
		return nil, errNotOwner
	}
	return answer.GetState(), err
}

// HandOver sends a shard's state to its successor.
func (sl *siteLink) HandOver(
	ctx context.Context, to member.HostView, shard chestnutroad.ShardID, epoch chestnutroad.Epoch, state []byte,
) error {
	_, err := sl.client.HandOver(ctx, to.PeerAddress, &peerpb.HandOverRequest{
		Service:     string(shard.Pool.Service),
		DataCentre:  string(shard.DataCentre),
		EpochMillis: epoch.Millis,
		EpochHost:   string(epoch.Host),
		State:       state,
	})
	return err
}
