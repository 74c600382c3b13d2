package runner

import (
	"context"
	"time"

	"oleanderpulley/internal/coordination/dispatcher"
	"oleanderpulley/internal/coordination/distributor"
	"oleanderpulley/internal/coordination/sharer"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/reporter"
)

// noAnswerTimeout limits the delivery of a message whose answer is ignored.
const noAnswerTimeout = time.Second

func (r *Runner) buildDistributor() {
	r.distributor = &distributor.Distributor{
		Instance: r.Settings.InstanceID, DataCentre: r.Settings.DataCentre,
		Platform: r.distributorPlatform(), Request: r.messenger.Request, Logger: r.Logger,
		Joining: func() { r.sharer.Reset() },
		Joined:  func() { r.sharer.Joined() },
	}
}

func (r *Runner) buildShares() {
	r.sharer = &sharer.Sharer{
		Self:         sharer.Peer{ID: r.Settings.InstanceID, DataCentre: r.Settings.DataCentre},
		Peers:        r.sharePeers,
		Removals:     func() uint64 { return rosterMembers(r.lister.Rosters()).Removals },
		Members:      r.readRosterMembers,
		ReadLedger:   r.readLedger,
		UpdateLedger: r.updateLedger,
		Request:      r.messenger.Request,
		Send:         r.sendWithoutAnswer,
		Current:      r.hasCurrentConfiguration,
		Limit: func(workspace identifier.WorkspaceName) (float64, float64) {
			view, err := r.distributor.Current()
			if err != nil {
				return 0, 0
			}
			return view.Limit(workspace)
		},
		Workspaces: r.workspaceNames,
	}
	r.dispatcher = &dispatcher.Dispatcher{
		MaxConnections: r.connectionLimit,
		Slots:          r.slotCount,
		Instances:      r.listedInstances,
		QueueLimit:     r.Settings.Limits.QueuePerWorkspace,
		Hooks: dispatcher.Hooks{
			Waited: func(_ identifier.BackendServerID, workspace identifier.WorkspaceName, d time.Duration) {
				r.registry.Observe(reporter.Series{Name: "slot_wait_seconds", Workspace: workspace}, d)
			},
			Served: func(_ identifier.BackendServerID, workspace identifier.WorkspaceName, d time.Duration) {
				r.registry.Observe(reporter.Series{Name: "slot_held_seconds", Workspace: workspace}, d)
			},
		},
	}
}

// sharePeers returns the members of all rosters except this instance.
func (r *Runner) sharePeers() []sharer.Peer {
	members := rosterMembers(r.lister.Rosters()).Peers
	peers := members[:0]
	for _, p := range members {
		if p.ID != r.Settings.InstanceID {
			peers = append(peers, p)
		}
	}
	return peers
}

// sendWithoutAnswer sends a message to a peer and ignores the answer and any
// error.
func (r *Runner) sendWithoutAnswer(peer identifier.InstanceID, body any) {
	ctx, cancel := context.WithTimeout(context.Background(), noAnswerTimeout)
	defer cancel()
	_, _ = r.messenger.Request(ctx, peer, body) // The next report replaces one that was lost.
}

// hasCurrentConfiguration reports whether the instance has a configuration that
// is proven to be in force.
func (r *Runner) hasCurrentConfiguration() bool {
	_, err := r.distributor.Current()
	return err == nil
}

func (r *Runner) workspaceNames() []identifier.WorkspaceName {
	view, err := r.distributor.Current()
	if err != nil {
		return nil
	}
	names := make([]identifier.WorkspaceName, 0, len(view.Accepted.Workspaces))
	for name := range view.Accepted.Workspaces {
		names = append(names, name)
	}
	return names
}

// connectionLimit returns how many connections all instances together may open to
// a backend server, or 0 before the first configuration.
func (r *Runner) connectionLimit(server identifier.BackendServerID) int {
	backends := r.backendServers.Load()
	if backends == nil {
		return 0
	}
	return (*backends)[server].Connections
}

// slotCount returns how many statements a backend server runs at a time, or 0
// before the first configuration.
func (r *Runner) slotCount(server identifier.BackendServerID) int {
	backends := r.backendServers.Load()
	if backends == nil {
		return 0
	}
	return (*backends)[server].Slots
}

// applyConfiguration passes a changed configuration to the components that keep
// copies of its values.
func (r *Runner) applyConfiguration(view configurer.View) {
	r.applyGroups(view)
	r.sharer.LimitsChanged()
	r.dispatcher.Refresh()
}
