package host

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/operator"
	"github.com/chestnutroad/chestnutroad/internal/peer"
	"github.com/chestnutroad/chestnutroad/internal/timeline"
)

const (
	defaultDrainTimeout = 10 * time.Minute
	drainPoll           = 50 * time.Millisecond
	// balancerGrace is how long a draining host still accepts requests after it reports that it is not ready, so that the
	// platform's load balancer notices before requests are refused.
	balancerGrace = time.Second
)

// Run serves until the context ends, then drains and returns. Requests in flight complete unless the drain exceeds its
// timeout.
func (ho *Host) Run(ctx context.Context) error {
	sender, err := peer.ListenControl(ho.settings.PeerAddress.String(), ho.settings.ID, ho.settings.ClusterKey,
		peer.WithSenderMetrics(ho.metrics))
	if err != nil {
		return err
	}
	link, err := ho.newSiteLink(sender)
	if err != nil {
		return err
	}
	ho.peers = link
	server, err := peer.NewServer(&peerHandler{host: ho}, ho.settings.ClusterKey, sender, ho.peerOptions()...)
	if err != nil {
		return err
	}
	return ho.serve(ctx, link, server)
}

// peerOptions returns the options of calls between hosts, which carry timeline stamps if a timeline is recorded.
func (ho *Host) peerOptions() []peer.Option {
	opts := []peer.Option{peer.WithMetrics(ho.metrics)}
	if ho.recorder != nil {
		opts = append(opts, peer.WithHybridClock(clockAdapter{ho.recorder.Clock()}))
	}
	return opts
}

// clockAdapter adapts the timeline's clock to peer.HybridClock.
type clockAdapter struct{ clock *timeline.Clock }

// Stamp returns the clock's next stamp, packed into one number.
func (ca clockAdapter) Stamp() uint64 { return ca.clock.Now().Pack() }

// Observe advances the clock to another host's stamp. The clock ignores and counts stamps that are too far ahead.
func (ca clockAdapter) Observe(stamp uint64) {
	if stamp != 0 {
		ca.clock.Observe(timeline.Unpack(stamp))
	}
}

// newSiteLink returns the link to the other hosts, with the configured peers as membership seeds.
func (ho *Host) newSiteLink(sender *peer.Sender) (*siteLink, error) {
	self := member.Host{
		ID:          ho.settings.ID,
		DataCentre:  ho.settings.DataCentre,
		PeerAddress: ho.settings.PeerAddress.String(),
		Incarnation: ho.incarnation,
	}
	seeds := make([]member.Host, 0, len(ho.settings.Peers))
	for _, seed := range ho.settings.Peers {
		if seed.ID != self.ID {
			seeds = append(seeds, member.Host{ID: seed.ID, PeerAddress: seed.Address.String()})
		}
	}
	client, err := peer.NewClient(self.ID, ho.settings.ClusterKey, sender, ho.peerOptions()...)
	if err != nil {
		return nil, err
	}
	link := &siteLink{site: ho.settings.Site, client: client}
	link.Peer = peer.NewPeer(member.New(self, member.WithSeeds(seeds...)), sender,
		peer.WithOnPayload(ho.receivePayload))
	return link, nil
}

// receivePayload applies a load summary or placement exceptions from another host's datagram. Payloads that can't be
// decoded are dropped.
func (ho *Host) receivePayload(_ chestnutroad.HostID, kind member.PayloadKind, data []byte) {
	switch kind {
	case member.LoadSummary:
		summary, err := decodeSummary(ho.settings.Site, data)
		if err != nil {
			return
		}
		for _, sh := range ho.ownership.ownedShards() {
			sh.receiveSummary(summary)
		}
	case member.PlacementException:
		id, exceptions, err := decodeExceptions(ho.settings.Site, data)
		if err == nil {
			ho.ownership.storeExceptions(id, exceptions)
		}
	}
}

// serve runs the peer, caller and operator listeners until the drain has ended.
func (ho *Host) serve(ctx context.Context, link *siteLink, server *peer.Server) error {
	defer link.client.Close()
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	listener, err := peer.Listen(serving, ho.settings.PeerAddress.String())
	if err != nil {
		return err
	}
	callers, err := listenHTTP(serving, ho.settings.CallerAddress.String())
	if err != nil {
		return err
	}
	operators, err := listenHTTP(serving, ho.settings.OperatorAddress.String())
	if err != nil {
		return err
	}
	ho.startControllers()
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return link.Run(serving) })
	group.Go(func() error { return server.Serve(serving, listener) })
	callerServer, err := newCallerServer(ho.newCallers().HTTPServer(), callers, ho.logger)
	if err != nil {
		return err
	}
	operatorServer := operator.NewServer(ho.newOperators())
	group.Go(func() error { return callerServer.serve(ho.settings.CertificateFile, ho.settings.KeyFile) })
	ho.startController(callerServer.sweepIdle)
	group.Go(func() error { return ignoreClosed(operatorServer.Serve(operators)) })
	ho.logger.Info("serving", "Callers", callers.Addr().String(), "Operators", operators.Addr().String())
	ho.record(timeline.Event{Type: timeline.Started})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-serving.Done():
		}
		ho.drain(callerServer)
		stop()
		return errors.CombineErrors(operatorServer.Close(), callerServer.server.Close())
	})
	err = group.Wait()
	ho.cancel()
	ho.controllers.Wait()
	ho.record(timeline.Event{Type: timeline.Stopped})
	return err
}

func listenHTTP(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}

// ignoreClosed returns nil for the error that a server returns after it or its listener was closed.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// drain refuses new requests after balancerGrace and waits, up to the drain timeout, for requests in flight and for the
// handover of the owned shards.
func (ho *Host) drain(callers *callerServer) {
	ho.logger.Info("draining")
	ho.record(timeline.Event{Type: timeline.Draining})
	ho.draining.Store(true)
	ho.peers.Leave()
	pause(context.Background(), balancerGrace)
	ho.refusing.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), ho.drainTimeout())
	defer cancel()
	if !callers.drain(ctx) {
		ho.logger.Warn("callers' requests were cut off")
	}
	for ctx.Err() == nil && ho.busy() {
		pause(ctx, drainPoll)
	}
	ho.logger.Info("drained", "Complete", ctx.Err() == nil)
}

// busy reports whether the host still owns or hands over a shard, runs requests of a released one, or has an order whose
// record is not in the log.
func (ho *Host) busy() bool {
	return len(ho.ownership.ownedShards()) > 0 || ho.ownership.releasing() || ho.orders.busy()
}

func (ho *Host) drainTimeout() time.Duration {
	if di := ho.directory.Load(); di != nil {
		return di.effective.Fleet.DrainTimeout
	}
	return defaultDrainTimeout
}
