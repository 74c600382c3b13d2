package homer

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// usable is the part of a backend server's connections that homes plan with.
// The rest is for the first seconds after a loss of power, in which the server
// still counts the connections of before.
const usable = 0.6

// Plan holds the homes of all workspaces for one service.
type Plan struct {
	// Everywhere is true if every instance is a home of every workspace.
	Everywhere bool

	homes map[identifier.WorkspaceName][]cataloger.Member
	loads map[identifier.InstanceID]int
}

// Homes returns the homes of a workspace: those of the own data centre first,
// then those beside the servers that the statement needs, so that it crosses
// data centres once.
func (p *Plan) Homes(w identifier.WorkspaceName, near identifier.DataCentre, servers []identifier.DataCentre) []cataloger.Member {
	homes := slices.Clone(p.homes[w])
	distance := func(m cataloger.Member) int {
		switch {
		case m.DataCentre == near:
			return 0
		case slices.Contains(servers, m.DataCentre):
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(homes, func(a, b cataloger.Member) int {
		return cmp.Compare(distance(a), distance(b))
	})
	return homes
}

// Load returns the number of workspaces that have a home at the instance.
func (p *Plan) Load(id identifier.InstanceID) int {
	return p.loads[id]
}

// Limit returns the number of connections that the instance may keep to a
// server: one for each workspace at home there, and an equal part of what is
// left, one at least.
func (p *Plan) Limit(id identifier.InstanceID, connections, members int) int {
	planned := 0
	for _, load := range p.loads {
		planned += load
	}
	spare := int(limited*float64(connections)) - planned
	return max(1, p.loads[id]+max(0, spare)/max(1, members))
}

// limited is the part of a server's connections that all instances may keep
// together.
const limited = 0.9

// Make plans the homes for a service. No instance is the home of more than one
// workspace over the mean of its data centre.
func Make(service identifier.ServiceName, c *cataloger.Catalog) *Plan {
	workspaces := slices.Sorted(maps.Keys(c.Configuration.Workspaces))
	connections := c.Configuration.Services[service].MaxConnections
	members := len(c.Members)
	p := &Plan{}
	if members == 0 || len(workspaces) == 0 {
		p.Everywhere = true
		return p
	}
	byDataCentre, names := group(c.Members)
	// One home in each data centre keeps statements within it.
	each := min(len(names), max(1, int(usable*float64(connections))/len(workspaces)))
	if each >= members {
		p.Everywhere = true
		return p
	}
	names = withServers(names, c.Servers[service], each)
	p.homes = make(map[identifier.WorkspaceName][]cataloger.Member, len(workspaces))
	p.loads = make(map[identifier.InstanceID]int, members)
	most := func(dataCentre identifier.DataCentre) int {
		homes := (len(workspaces)*each + len(names) - 1) / len(names)
		local := len(byDataCentre[dataCentre])
		return (homes + local - 1) / local
	}
	for _, w := range workspaces {
		p.homes[w] = p.choose(service, w, each, most, byDataCentre, names)
	}
	return p
}

// withServers returns the data centres that have servers of the service, or all
// of them if those are too few for the homes. A statement that leaves its data
// centre for a home there leaves no other one for its server.
func withServers(names []identifier.DataCentre, servers []cataloger.BackendServer, homes int) []identifier.DataCentre {
	has := map[identifier.DataCentre]bool{}
	for _, s := range servers {
		has[s.DataCentre] = true
	}
	chosen := slices.DeleteFunc(slices.Clone(names), func(d identifier.DataCentre) bool { return !has[d] })
	if len(chosen) < homes {
		return names
	}
	return chosen
}

func group(members map[identifier.InstanceID]cataloger.Member) (map[identifier.DataCentre][]cataloger.Member, []identifier.DataCentre) {
	all := map[identifier.DataCentre][]cataloger.Member{}
	for _, m := range members {
		all[m.DataCentre] = append(all[m.DataCentre], m)
	}
	return all, slices.Sorted(maps.Keys(all))
}

// Owners returns the instances that divide the rate of a workspace.
func Owners(w identifier.WorkspaceName, count int, c *cataloger.Catalog) []identifier.InstanceID {
	byDataCentre, names := group(c.Members)
	p := &Plan{loads: map[identifier.InstanceID]int{}}
	var ids []identifier.InstanceID
	unlimited := func(identifier.DataCentre) int { return math.MaxInt }
	for _, m := range p.choose("", w, count, unlimited, byDataCentre, names) {
		ids = append(ids, m.ID)
	}
	return ids
}

// choose takes homes from the data centres in turn, in each the instance with
// the highest weight that has room.
func (p *Plan) choose(service identifier.ServiceName, w identifier.WorkspaceName, each int, most func(identifier.DataCentre) int,
	all map[identifier.DataCentre][]cataloger.Member, names []identifier.DataCentre,
) []cataloger.Member {
	if len(names) == 0 {
		return nil
	}
	var homes []cataloger.Member
	taken := map[identifier.InstanceID]bool{}
	key := string(service) + "/" + string(w) + "/"
	start := int(xxhash.Sum64String(key) % uint64(len(names)))
	for misses := 0; len(homes) < each && misses < len(names); start++ {
		name := names[start%len(names)]
		m, ok := p.best(key, all[name], taken, most(name))
		if !ok {
			misses++
			continue
		}
		misses = 0
		taken[m.ID] = true
		p.loads[m.ID]++
		homes = append(homes, m)
	}
	return homes
}

func (p *Plan) best(key string, members []cataloger.Member, taken map[identifier.InstanceID]bool, most int) (cataloger.Member, bool) {
	var found cataloger.Member
	var weight uint64
	ok := false
	for _, m := range members {
		if taken[m.ID] || p.loads[m.ID] >= most {
			continue
		}
		if own := xxhash.Sum64String(key + string(m.ID)); !ok || own > weight || (own == weight && m.ID < found.ID) {
			found, weight, ok = m, own, true
		}
	}
	return found, ok
}
