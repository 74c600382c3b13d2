package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/distributor"
	"oleanderpulley/internal/coordination/lister"
	"oleanderpulley/internal/coordination/promoter"
	"oleanderpulley/internal/coordination/sharer"
	"oleanderpulley/internal/protocol/encoder"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/messenger"
)

// newEncoder returns an encoder with all message types between instances.
func newEncoder() *encoder.Encoder {
	e := &encoder.Encoder{}
	e.Register("config_state", distributor.ConfigState{})
	e.Register("config_confirm", distributor.ConfigConfirmation{})
	e.Register("prepared", distributor.PreparedReport{})
	e.Register("share_request", sharer.ShareRequest{})
	e.Register("share_grant", sharer.ShareGrant{})
	e.Register("share_report", sharer.ShareReport{})
	e.Register("epoch_enter", sharer.EpochEnter{})
	e.Register("fleet_ask", lister.FleetRequest{})
	e.Register("fleet_state", lister.FleetState{})
	registerGroupMessages(e)
	return e
}

// startPeers creates the platform client and the instance list, and opens the
// listener for peers.
func (r *Runner) startPeers() error {
	s := r.Settings.Peers
	config, err := loadTLSConfig(s.TLSCertFile, s.TLSKeyFile, s.TLSCAFile)
	if err != nil {
		return err
	}
	if err := r.buildPlatformClient(); err != nil {
		return err
	}
	r.messenger = &messenger.Messenger{
		Self: r.hello(), Encoder: newEncoder(), Handle: r.handlePeerRequest, TLS: config,
		Logger: r.Logger, Ping: time.Duration(r.Settings.Timeouts.PeerPing), Dial: r.Override.Dial,
	}
	r.lister = &lister.Lister{
		Self:          r.Settings.InstanceID,
		Relays:        func() []identifier.InstanceID { return r.distributor.Relays() },
		ReadInstances: r.readInstances,
		ReadRosters:   r.readRosters,
		Request:       r.messenger.Request,
		OnChange:      r.applyInstanceList,
	}
	address, err := r.messenger.Start(s.Listen)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.addresses.Peers = address.String()
	r.mu.Unlock()
	return nil
}

// handlePeerRequest dispatches a request of a peer by the type of its body.
func (r *Runner) handlePeerRequest(ctx context.Context, from encoder.Hello, body any) (any, error) {
	switch m := body.(type) {
	case distributor.ConfigState, distributor.ConfigConfirmation, distributor.PreparedReport:
		return r.distributor.Handle(ctx, from.Instance, body)
	case sharer.ShareRequest, sharer.ShareGrant, sharer.ShareReport, sharer.EpochEnter:
		return r.sharer.Handle(ctx, from.Instance, body)
	case lister.FleetRequest:
		return r.lister.Handle(m)
	case promoter.GroupNotice:
		return r.answerGroupNotice(m), nil
	default:
		return nil, errors.Wrapf(errNoHandler, "%T", body)
	}
}

// applyInstanceList passes the listed instances to the messenger as its peers.
func (r *Runner) applyInstanceList() {
	entries := r.lister.Entries(lister.RoleEntry)
	peers := make([]messenger.Peer, len(entries))
	for i, e := range entries {
		peers[i] = messenger.Peer{ID: identifier.InstanceID(e.ID), DataCentre: e.DataCentre, Address: e.Address}
	}
	r.instanceCount.Store(int64(len(entries)))
	r.instanceListChanges.Add(1)
	r.messenger.SetPeers(peers)
}

// listedInstances returns the number of listed instances. It includes draining
// instances, because they keep their connections to backend servers until they end.
func (r *Runner) listedInstances() int {
	return int(r.instanceCount.Load())
}

// errNoHandler is the answer to a message whose type this release does not handle.
var errNoHandler = errors.New("message has no handler")
