package assigner

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// plannedFraction is the fraction of a backend server's connections that the
// plan assigns to homes. The rest is a reserve for the first seconds after a
// power loss, in which the server still counts the connections from before it.
const plannedFraction = 0.6

// Plan holds the homes of all workspaces for one service.
type Plan struct {
	// Everywhere is true if every instance is a home of every workspace.
	Everywhere bool

	homes map[identifier.WorkspaceName][]cataloger.Instance
	loads map[identifier.InstanceID]int
}

// Homes returns the homes of a workspace, ordered: those in the caller's own
// data centre first, then those in a data centre with one of the servers that
// the statement needs, so that it crosses data centres only once.
func (p *Plan) Homes(w identifier.WorkspaceName, own identifier.DataCentre, servers []identifier.DataCentre) []cataloger.Instance {
	homes := slices.Clone(p.homes[w])
	rank := func(m cataloger.Instance) int {
		switch {
		case m.DataCentre == own:
			return 0
		case slices.Contains(servers, m.DataCentre):
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(homes, func(a, b cataloger.Instance) int {
		return cmp.Compare(rank(a), rank(b))
	})
	return homes
}

// Load returns the number of workspaces of which the instance is a home.
func (p *Plan) Load(id identifier.InstanceID) int {
	return p.loads[id]
}

// Limit returns the number of connections that the instance may keep to a
// server: one for each workspace of which it is a home, and an equal share of
// the unplanned connections; at least one.
func (p *Plan) Limit(id identifier.InstanceID, connections, members int) int {
	planned := 0
	for _, load := range p.loads {
		planned += load
	}
	spare := int(maxConnectionFraction*float64(connections)) - planned
	return max(1, p.loads[id]+max(0, spare)/max(1, members))
}

// maxConnectionFraction is the fraction of a server's connections that all
// instances together may keep.
const maxConnectionFraction = 0.9

// NewPlan computes the homes of all workspaces for a service. The load of an
// instance exceeds the mean of its data centre by at most one workspace.
func NewPlan(service identifier.ServiceName, c *cataloger.Catalog) *Plan {
	workspaces := slices.Sorted(maps.Keys(c.Configuration.Workspaces))
	connections := c.Configuration.Services[service].MaxConnections
	members := len(c.Instances)
	p := &Plan{}
	if members == 0 || len(workspaces) == 0 {
		p.Everywhere = true
		return p
	}
	byDataCentre, dataCentres := groupByDataCentre(c.Instances)
	// A home in each data centre keeps statements from crossing data centres.
	homesPerWorkspace := min(len(dataCentres), max(1, int(plannedFraction*float64(connections))/len(workspaces)))
	if homesPerWorkspace >= members {
		p.Everywhere = true
		return p
	}
	dataCentres = dataCentresWithServers(dataCentres, c.Servers[service], homesPerWorkspace)
	p.homes = make(map[identifier.WorkspaceName][]cataloger.Instance, len(workspaces))
	p.loads = make(map[identifier.InstanceID]int, members)
	maxLoad := func(dataCentre identifier.DataCentre) int {
		homes := (len(workspaces)*homesPerWorkspace + len(dataCentres) - 1) / len(dataCentres)
		local := len(byDataCentre[dataCentre])
		return (homes + local - 1) / local
	}
	for _, w := range workspaces {
		p.homes[w] = p.assign(service, w, homesPerWorkspace, maxLoad, byDataCentre, dataCentres)
	}
	return p
}

// dataCentresWithServers returns the data centres that have servers of the
// service, or all data centres if those are fewer than the homes of a
// workspace. A statement that crosses to a home in such a data centre need not
// cross again to reach a server.
func dataCentresWithServers(dataCentres []identifier.DataCentre, servers []cataloger.BackendServer, homes int) []identifier.DataCentre {
	has := map[identifier.DataCentre]bool{}
	for _, s := range servers {
		has[s.DataCentre] = true
	}
	chosen := slices.DeleteFunc(slices.Clone(dataCentres), func(d identifier.DataCentre) bool { return !has[d] })
	if len(chosen) < homes {
		return dataCentres
	}
	return chosen
}

// groupByDataCentre returns the members by data centre and the sorted names of
// the data centres.
func groupByDataCentre(members map[identifier.InstanceID]cataloger.Instance) (map[identifier.DataCentre][]cataloger.Instance, []identifier.DataCentre) {
	byDataCentre := map[identifier.DataCentre][]cataloger.Instance{}
	for _, m := range members {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
	}
	return byDataCentre, slices.Sorted(maps.Keys(byDataCentre))
}

// Owners returns the instances among which the rate limit of a workspace is
// divided.
func Owners(w identifier.WorkspaceName, count int, c *cataloger.Catalog) []identifier.InstanceID {
	byDataCentre, dataCentres := groupByDataCentre(c.Instances)
	p := &Plan{loads: map[identifier.InstanceID]int{}}
	var ids []identifier.InstanceID
	unlimited := func(identifier.DataCentre) int { return math.MaxInt }
	for _, m := range p.assign("", w, count, unlimited, byDataCentre, dataCentres) {
		ids = append(ids, m.ID)
	}
	return ids
}

// assign selects the homes of a workspace round-robin from the data centres: in
// each the instance with the highest weight whose load is below the maximum.
func (p *Plan) assign(service identifier.ServiceName, w identifier.WorkspaceName, count int, maxLoad func(identifier.DataCentre) int,
	byDataCentre map[identifier.DataCentre][]cataloger.Instance, dataCentres []identifier.DataCentre,
) []cataloger.Instance {
	if len(dataCentres) == 0 {
		return nil
	}
	var homes []cataloger.Instance
	taken := map[identifier.InstanceID]bool{}
	key := string(service) + "/" + string(w) + "/"
	start := int(xxhash.Sum64String(key) % uint64(len(dataCentres)))
	for misses := 0; len(homes) < count && misses < len(dataCentres); start++ {
		name := dataCentres[start%len(dataCentres)]
		m, ok := p.highestWeight(key, byDataCentre[name], taken, maxLoad(name))
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

// highestWeight returns the member with the highest hash of key and id, among
// those that are not taken and whose load is below the maximum.
func (p *Plan) highestWeight(key string, members []cataloger.Instance, taken map[identifier.InstanceID]bool, maxLoad int) (cataloger.Instance, bool) {
	var best cataloger.Instance
	var weight uint64
	ok := false
	for _, m := range members {
		if taken[m.ID] || p.loads[m.ID] >= maxLoad {
			continue
		}
		if hash := xxhash.Sum64String(key + string(m.ID)); !ok || hash > weight || (hash == weight && m.ID < best.ID) {
			best, weight, ok = m, hash, true
		}
	}
	return best, ok
}
