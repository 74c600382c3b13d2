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

// LinkCosts measures the cost of links between instances: the memory of both
// ends of an open link, and the processor time of a request and its response.
func LinkCosts(ctx context.Context) ([]Fit, error) {
	var memory, cpu []Point
	for _, n := range []int{25, 50, 100, 200} {
		m, c, err := measureLinkCost(ctx, n)
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

// measureLinkCost opens n links from one instance to n peers. It returns the heap
// growth for all links, and the processor time of one request over each link.
func measureLinkCost(ctx context.Context, n int) (memory, cpu float64, err error) {
	e := &encoder.Encoder{}
	e.Register("fleet_ask", lister.FleetRequest{})
	e.Register("fleet_state", lister.FleetState{})
	handle := func(context.Context, encoder.Hello, any) (any, error) { return lister.FleetState{Revision: 7}, nil }
	startMessenger := func(id identifier.InstanceID) (*messenger.Messenger, string, error) {
		m := &messenger.Messenger{Self: encoder.Hello{Instance: id, DataCentre: "centro-a"}, Encoder: e, Handle: handle, Ping: time.Hour}
		address, err := m.Start("127.0.0.1:0")
		if err != nil {
			return nil, "", err
		}
		return m, address.String(), nil
	}
	dialler, _, err := startMessenger("dialler")
	if err != nil {
		return 0, 0, err
	}
	defer dialler.Close()
	var peers []messenger.Peer
	for i := range n {
		id := identifier.InstanceID(fmt.Sprintf("peer-%d", i))
		m, address, err := startMessenger(id)
		if err != nil {
			return 0, 0, err
		}
		defer m.Close()
		peers = append(peers, messenger.Peer{ID: id, Address: address})
	}
	dialler.SetPeers(peers)
	before := heap()
	if err := requestAll(ctx, dialler, peers); err != nil {
		return 0, 0, err
	}
	memory = heap() - before
	start := processorTime()
	for range requestsPerLink {
		if err := requestAll(ctx, dialler, peers); err != nil {
			return 0, 0, err
		}
	}
	return memory, (processorTime() - start).Seconds() / requestsPerLink, nil
}

// requestAll sends one request to each peer and waits for each response.
func requestAll(ctx context.Context, m *messenger.Messenger, peers []messenger.Peer) error {
	for _, p := range peers {
		if _, err := m.Request(ctx, p.ID, lister.FleetRequest{Origin: 1, Revision: 6}); err != nil {
			return err
		}
	}
	return nil
}
