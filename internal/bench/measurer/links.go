package measurer

import (
	"context"
	"fmt"
	"time"

	"oleanderpulley/internal/coordination/lister"
	"oleanderpulley/internal/protocol/encoder"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/messenger"
)

// Links measures what links between instances cost: memory for each open
// outbound link with its inbound end, and processor time and bytes for each
// request with its answer.
func Links(ctx context.Context) ([]Fit, error) {
	var memory, cpu []Point
	for _, n := range []int{25, 50, 100, 200} {
		m, c, err := measureLinks(ctx, n)
		if err != nil {
			return nil, err
		}
		memory = append(memory, Point{float64(n), m})
		cpu = append(cpu, Point{float64(n), c})
	}
	return []Fit{
		NewFit("links: memory of both ends", "bytes per link", memory),
		NewFit("links: processor time of both ends at 1 request/s", "s/s per link", cpu),
	}, nil
}

const requestsPerLink = 50

// measureLinks opens n links from one instance and sends requests over each.
func measureLinks(ctx context.Context, n int) (memory, cpu float64, err error) {
	e := &encoder.Encoder{}
	e.Register("fleet_ask", lister.FleetRequest{})
	e.Register("fleet_state", lister.FleetState{})
	handle := func(context.Context, encoder.Hello, any) (any, error) { return lister.FleetState{Revision: 7}, nil }
	start := func(id identifier.InstanceID) (*messenger.Messenger, string, error) {
		m := &messenger.Messenger{Self: encoder.Hello{Instance: id, DataCentre: "centro-a"}, Encoder: e, Handle: handle, Ping: time.Hour}
		address, err := m.Start("127.0.0.1:0")
		if err != nil {
			return nil, "", err
		}
		return m, address.String(), nil
	}
	dialler, _, err := start("dialler")
	if err != nil {
		return 0, 0, err
	}
	defer dialler.Close()
	var peers []messenger.Peer
	for i := range n {
		id := identifier.InstanceID(fmt.Sprintf("peer-%d", i))
		m, address, err := start(id)
		if err != nil {
			return 0, 0, err
		}
		defer m.Close()
		peers = append(peers, messenger.Peer{ID: id, Address: address})
	}
	dialler.SetPeers(peers)
	before := heap()
	if err := askAll(ctx, dialler, peers); err != nil {
		return 0, 0, err
	}
	memory = heap() - before
	spent := processorTime()
	for range requestsPerLink {
		if err := askAll(ctx, dialler, peers); err != nil {
			return 0, 0, err
		}
	}
	return memory, (processorTime() - spent).Seconds() / requestsPerLink, nil
}

func askAll(ctx context.Context, m *messenger.Messenger, peers []messenger.Peer) error {
	for _, p := range peers {
		if _, err := m.Request(ctx, p.ID, lister.FleetRequest{Origin: 1, Revision: 6}); err != nil {
			return err
		}
	}
	return nil
}
