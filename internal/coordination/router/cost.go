package router

import (
	"time"

	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
)

// Costs are the expected delays by which backend servers are compared for a
// read.
type Costs struct {
	// Primary is added for a read at the primary, so that its capacity is kept
	// for writes. It also bounds the wait for a replica. If sessions read soon
	// after they wrote, the share of reads at replicas reaches its target only
	// if this bound is close to the replication delay. 0 selects 150 ms.
	Primary time.Duration
	// OtherDataCentre is added for a backend server in another data centre. 0
	// selects 2 ms, the round trip between data centres.
	OtherDataCentre time.Duration
	// Statement is the time for which one statement occupies a slot. 0 selects
	// 2 ms.
	Statement time.Duration
}

func (c Costs) primaryCost() time.Duration { return orDefault(c.Primary, 150*time.Millisecond) }

// serverCost returns the expected delay at a backend server that has the given
// number of statements outstanding.
func (c Costs) serverCost(b configurer.BackendServer, local identifier.DataCentre, outstanding int) time.Duration {
	cost := orDefault(c.Statement, 2*time.Millisecond) * time.Duration(outstanding) / time.Duration(max(1, b.Slots))
	if b.DataCentre != local {
		cost += orDefault(c.OtherDataCentre, 2*time.Millisecond)
	}
	return cost
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// cheapestServer returns the backend server with the lowest expected cost for a
// read with a known floor: a replica that covers the floor, a replica that is
// predicted to cover it after a wait, or the primary. The wait is 0 if the
// choice can be used now.
func (r *Router) cheapestServer(service identifier.ServiceName, g *tracker.Group, rd Read, primary Choice, primaryOK, mayWait bool) (Choice, time.Duration, bool) {
	now := r.now()
	var best Choice
	var bestWait, bestCost time.Duration
	found := false
	if primaryOK {
		b := r.Members(service)[primary.Server]
		best, found = primary, true
		bestCost = r.Costs.primaryCost() + r.Costs.serverCost(b, r.DataCentre, r.outstanding(primary.Server))
	}
	for server, b := range r.Members(service) {
		if _, draining := r.draining(server); draining {
			continue
		}
		st, sent, known := g.Status(server)
		if !known || st.Role != tracker.Replica {
			continue
		}
		var wait time.Duration
		switch g.Covers(server, rd.Floor) {
		case tracker.Covered:
		case tracker.Behind:
			predicted, ok := g.EstimateCatchUp(server, rd.Floor, now)
			if !ok || !mayWait || now.Add(predicted).After(rd.Deadline) {
				continue
			}
			// The last sample shows the replica behind the floor, so at least
			// one more sample is needed.
			wait = max(predicted, time.Millisecond)
		default:
			continue
		}
		cost := wait + r.Costs.serverCost(b, r.DataCentre, r.outstanding(server))
		if !found || cost < bestCost {
			best = Choice{Server: server, Role: tracker.Replica, Incarnation: st.Incarnation, Sampled: sent}
			bestWait, bestCost, found = wait, cost, true
		}
	}
	return best, bestWait, found
}

// replicaWithinAge returns the cheapest replica whose data are at most as old as
// the limit.
func (r *Router) replicaWithinAge(service identifier.ServiceName, g *tracker.Group, limit time.Duration) (Choice, bool) {
	now := r.now()
	var best Choice
	var bestCost time.Duration
	found := false
	for server, b := range r.Members(service) {
		if _, draining := r.draining(server); draining {
			continue
		}
		st, sent, known := g.Status(server)
		age, ageKnown := g.Age(server, now)
		if !known || !ageKnown || age > limit || st.Role != tracker.Replica {
			continue
		}
		cost := r.Costs.serverCost(b, r.DataCentre, r.outstanding(server))
		if !found || cost < bestCost {
			best = Choice{Server: server, Role: tracker.Replica, Incarnation: st.Incarnation, Sampled: sent}
			bestCost, found = cost, true
		}
	}
	return best, found
}

func (r *Router) outstanding(server identifier.BackendServerID) int {
	if r.Outstanding == nil {
		return 0
	}
	return r.Outstanding(server)
}
