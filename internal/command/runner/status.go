package runner

import (
	"oleanderpulley/internal/coordination/distributor"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/prober"
)

// Status is the JSON body of the status endpoint.
type Status struct {
	Ready         bool                    `json:"ready"`
	Reasons       []string                `json:"reasons,omitempty"`
	Configuration distributor.Status      `json:"configuration"`
	Groups        map[string]GroupStatus  `json:"groups"`
	Evacuations   []EvacuationStatus      `json:"evacuations,omitempty"`
	Traffic       Traffic                 `json:"traffic"`
	Instances     []identifier.InstanceID `json:"instances"`
}

// GroupStatus describes a database group as this instance last observed it.
type GroupStatus struct {
	Primary    identifier.BackendServerID `json:"primary"`
	Term       identifier.Term            `json:"term"`
	WriteRight bool                       `json:"write_right"`
}

// Traffic counts the messages to and from peers and the probes of backend servers
// since the instance started.
type Traffic struct {
	PeerMessagesSent     int64         `json:"peer_messages_sent"`
	PeerMessagesReceived int64         `json:"peer_messages_received"`
	PeerBytesSent        int64         `json:"peer_bytes_sent"`
	PeerBytesReceived    int64         `json:"peer_bytes_received"`
	Probes               prober.Counts `json:"probes"`
}

// Status returns the current state of the instance.
func (r *Runner) Status() Status {
	s := Status{
		Reasons:       r.NotReadyReasons(),
		Configuration: r.distributor.Status(),
		Groups:        map[string]GroupStatus{},
		Evacuations:   r.evacuationStatuses(),
		Traffic: Traffic{
			PeerMessagesSent:     r.messenger.Counters.MessagesSent.Load(),
			PeerMessagesReceived: r.messenger.Counters.MessagesReceived.Load(),
			PeerBytesSent:        r.messenger.Counters.BytesSent.Load(),
			PeerBytesReceived:    r.messenger.Counters.BytesReceived.Load(),
			Probes:               r.prober.Counts(),
		},
	}
	s.Ready = len(s.Reasons) == 0
	if view, err := r.distributor.Current(); err == nil {
		for name := range view.Accepted.Services {
			server, term, _ := r.groups.Get(name).Primary()
			s.Groups[string(name)] = GroupStatus{Primary: server, Term: term, WriteRight: r.confirmer.Valid(name, term)}
		}
	}
	for _, p := range r.messenger.Peers() {
		s.Instances = append(s.Instances, p.ID)
	}
	return s
}
