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
	localShare    = 0.58 // Of the homes in the server's data centre.
	remoteShare   = 0.22 // Of the homes in other data centres with a server.
	fallbackShare = 0.1  // Of the homes in data centres without one.
	otherShare    = 0.1  // Of the instances that are no homes.
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
	// minDataCentres is the number of data centres with homes, if there are as
	// many. Those without a server serve when the others cannot be reached, or
	// when the registration of their server lapses because it is cut off from
	// the store.
	minDataCentres = 5
)

// Plan holds the homes of one service.
type Plan struct {
	homes       map[identifier.DataCentre][]*member // Those with the highest weights first.
	dataCentres []identifier.DataCentre             // With homes.
	hasServer   map[identifier.DataCentre]bool
	connections int // That each server accepts.
	count       int // Of homes.
	fallbacks   int // Of homes in data centres without a server.
	others      int // Instances that are no homes.
}

// NewPlan computes the homes of a service with the given servers, each of which
// accepts that many connections.
func NewPlan(service identifier.ServiceName, f *Fleet, servers []cataloger.BackendServer, connections int) *Plan {
	p := &Plan{homes: map[identifier.DataCentre][]*member{}, hasServer: map[identifier.DataCentre]bool{}, connections: connections}
	for _, s := range servers {
		p.hasServer[s.DataCentre] = true
	}
	key := xxhash.Sum64String(string(service))
	p.dataCentres = p.chooseDataCentres(f, key)
	perDataCentre := homesPerDataCentre(connections, max(1, len(p.hasServer)))
	for _, d := range p.dataCentres {
		p.homes[d] = f.highest(d, key, perDataCentre)
		p.count += len(p.homes[d])
		if !p.hasServer[d] {
			p.fallbacks += len(p.homes[d])
		}
	}
	p.others = f.size - p.count
	return p
}

// homesPerDataCentre returns the number of homes in each data centre, given the
// number of those with a server. It
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

// chooseDataCentres returns the data centres with homes: those with a server, and
// then those with the highest weights for the key.
func (p *Plan) chooseDataCentres(f *Fleet, key uint64) []identifier.DataCentre {
	dataCentres := slices.Clone(f.dataCentres)
	slices.SortFunc(dataCentres, func(a, b identifier.DataCentre) int {
		if p.hasServer[a] != p.hasServer[b] {
			return p.rankOf(a, nil) - p.rankOf(b, nil)
		}
		return compareDataCentres(key, a, b)
	})
	count := 0
	for count < len(dataCentres) && (count < minDataCentres || p.hasServer[dataCentres[count]]) {
		count++
	}
	return dataCentres[:count]
}

// rankOf returns the rank of a data centre for statements that prefer the groups.
// A statement that crosses to a home beside a server need not cross again, so that
// data centres without one come last.
func (p *Plan) rankOf(d identifier.DataCentre, groups [][]identifier.DataCentre) int {
	if !p.hasServer[d] {
		return len(groups) + 1
	}
	if i := slices.IndexFunc(groups, func(g []identifier.DataCentre) bool { return slices.Contains(g, d) }); i >= 0 {
		return i
	}
	return len(groups)
}

// compareDataCentres orders data centres by their weight for the key.
func compareDataCentres(key uint64, a, b identifier.DataCentre) int {
	return cmp.Compare(weight(key, xxhash.Sum64String(string(a))), weight(key, xxhash.Sum64String(string(b))))
}

// Homes returns all homes in the order in which the statements of the workspace
// use them. Those in the data centres of the first group come first, then those
// of the next, then those in other data centres with a server, and those in data
// centres without one last. Workspaces are spread over the data centres of a group
// and over the homes in a data centre.
func (p *Plan) Homes(w identifier.WorkspaceName, groups ...[]identifier.DataCentre) []cataloger.Instance {
	key := xxhash.Sum64String(string(w))
	dataCentres := slices.Clone(p.dataCentres)
	slices.SortFunc(dataCentres, func(a, b identifier.DataCentre) int {
		return cmp.Or(cmp.Compare(p.rankOf(a, groups), p.rankOf(b, groups)), compareDataCentres(key, a, b))
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
	case !p.hasServer[home]:
		return part(fallbackShare, p.connections, p.fallbacks)
	default:
		remote := p.count - p.fallbacks
		if p.hasServer[server] {
			remote -= local
		}
		return part(remoteShare, p.connections, remote)
	}
}

// ColdShare returns the part of the statements to a server that is still slow after
// its start that the instance may send. The homes in the data centre of the server
// share them, so that few instances count against a small rate.
func (p *Plan) ColdShare(id identifier.InstanceID, server identifier.DataCentre) float64 {
	home, ok := p.HomeIn(id)
	switch local := len(p.homes[server]); {
	case !ok || (local > 0 && home != server):
		return 0
	case local > 0:
		return 1 / float64(local+1) // Leaves room for one home more, as in part.
	default:
		return 1 / float64(p.count+1)
	}
}

// part returns the part of each home in a share of the connections. It leaves
// room for one home more, because a home that has just been replaced by another
// keeps its connections until it knows so.
func part(share float64, connections, homes int) int {
	return int(share*float64(connections)) / (homes + 1)
}
