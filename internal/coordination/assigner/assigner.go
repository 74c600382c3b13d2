package assigner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Shares of the connections that a backend server accepts. The rest is the
// reserve.
const (
	localShare  = 0.6  // Of the homes in the server's data centre.
	remoteShare = 0.25 // Of the homes in other data centres.
	otherShare  = 0.1  // Of the instances that are no homes.
)

const (
	// minHomeConnections is the number of connections to a server of its own
	// data centre below which a data centre has fewer homes. A connection
	// belongs to a workspace, so that a home with few of them opens new ones
	// for most statements.
	minHomeConnections = 8
	// maxHomes is the number of homes in a data centre. Each of them monitors
	// the primary.
	maxHomes = 3
)

// Plan holds the homes of one service.
type Plan struct {
	homes       map[identifier.DataCentre][]*member // Those with the highest weights first.
	dataCentres []identifier.DataCentre             // With homes, sorted.
	connections int                                 // That each server accepts.
	count       int                                 // Of homes.
	others      int                                 // Instances that are no homes.
}

// NewPlan computes the homes of a service with the given servers, each of which
// accepts that many connections.
func NewPlan(service identifier.ServiceName, f *Fleet, servers []cataloger.BackendServer, connections int) *Plan {
	p := &Plan{homes: map[identifier.DataCentre][]*member{}, connections: connections}
	p.dataCentres = f.dataCentresWithServers(servers)
	key := xxhash.Sum64String(string(service))
	perDataCentre := homesPerDataCentre(connections, len(p.dataCentres))
	for _, d := range p.dataCentres {
		p.homes[d] = f.highest(d, key, perDataCentre)
		p.count += len(p.homes[d])
	}
	p.others = f.size - p.count
	return p
}

// homesPerDataCentre returns the number of homes in each of the data centres. It
// leaves each home a connection to the servers of the other data centres, because
// a home monitors the primary and chooses its successor.
func homesPerDataCentre(connections, dataCentres int) int {
	count := maxHomes
	for count > 1 {
		local := part(localShare, connections, count)
		remote := part(remoteShare, connections, count*(dataCentres-1))
		if local >= minHomeConnections && (remote > 0 || dataCentres == 1) {
			break
		}
		count--
	}
	return count
}

// dataCentresWithServers returns the data centres with instances that have one of
// the servers, or all data centres with instances if there are none. A statement
// that crosses to a home in such a data centre need not cross again.
func (f *Fleet) dataCentresWithServers(servers []cataloger.BackendServer) []identifier.DataCentre {
	chosen := slices.DeleteFunc(slices.Clone(f.dataCentres), func(d identifier.DataCentre) bool {
		return !slices.ContainsFunc(servers, func(s cataloger.BackendServer) bool { return s.DataCentre == d })
	})
	if len(chosen) == 0 {
		return f.dataCentres
	}
	return chosen
}

// Homes returns all homes in the order in which the statements of the workspace
// use them. Those in the data centres of the first group come first, then those
// of the next, and the homes in other data centres last. Workspaces are spread
// over the data centres of a group and over the homes in a data centre.
func (p *Plan) Homes(w identifier.WorkspaceName, groups ...[]identifier.DataCentre) []cataloger.Instance {
	key := xxhash.Sum64String(string(w))
	rank := func(d identifier.DataCentre) int {
		i := slices.IndexFunc(groups, func(g []identifier.DataCentre) bool { return slices.Contains(g, d) })
		if i < 0 {
			return len(groups)
		}
		return i
	}
	dataCentres := slices.Clone(p.dataCentres)
	slices.SortFunc(dataCentres, func(a, b identifier.DataCentre) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)),
			cmp.Compare(weight(key, xxhash.Sum64String(string(a))), weight(key, xxhash.Sum64String(string(b)))))
	})
	homes := make([]cataloger.Instance, 0, p.count)
	for _, d := range dataCentres {
		local := slices.Clone(p.homes[d])
		slices.SortFunc(local, func(a, b *member) int {
			return cmp.Or(cmp.Compare(weight(key, b.hash), weight(key, a.hash)), cmp.Compare(a.instance.ID, b.instance.ID))
		})
		for _, m := range local {
			homes = append(homes, m.instance)
		}
	}
	return homes
}

// IDs returns the ids of all homes in no particular order.
func (p *Plan) IDs() []identifier.InstanceID {
	ids := make([]identifier.InstanceID, 0, p.count)
	for _, homes := range p.homes {
		for _, m := range homes {
			ids = append(ids, m.instance.ID)
		}
	}
	return ids
}

// HomeIn reports whether the instance is a home, and in which data centre.
func (p *Plan) HomeIn(id identifier.InstanceID) (identifier.DataCentre, bool) {
	for d, homes := range p.homes {
		if slices.ContainsFunc(homes, func(m *member) bool { return m.instance.ID == id }) {
			return d, true
		}
	}
	return "", false
}

// Limit returns the number of connections that the instance may keep to a server
// in the data centre. It is 0 for an instance that is no home of a service whose
// servers accept fewer connections than there are instances.
func (p *Plan) Limit(id identifier.InstanceID, server identifier.DataCentre) int {
	local := len(p.homes[server])
	home, ok := p.HomeIn(id)
	switch {
	case !ok:
		return int(otherShare*float64(p.connections)) / max(1, p.others)
	case local == 0:
		return max(part(localShare, p.connections, p.count), min(1, p.connections/p.count))
	case home == server:
		return max(1, part(localShare, p.connections, local))
	default:
		return part(remoteShare, p.connections, p.count-local)
	}
}

// part returns the part of each home in a share of the connections. It leaves
// room for one home more, because a home that has just been replaced by another
// keeps its connections until it knows so.
func part(share float64, connections, homes int) int {
	return int(share*float64(connections)) / (homes + 1)
}
