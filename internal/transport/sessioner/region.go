package sessioner

import (
	"slices"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

var errOutsideRegions = errors.New("no backend server in the regions that are allowed for the statement can run it")

// allowedRegions returns the regions in which a statement of the workspace on the
// route may run. limited is false if it may run in all of them; with a limit, there
// may be none.
func allowedRegions(route, workspace []identifier.Region) (allowed []identifier.Region, limited bool) {
	switch {
	case len(route) == 0:
		return workspace, len(workspace) > 0
	case len(workspace) == 0:
		return route, true
	}
	for _, r := range route {
		if slices.Contains(workspace, r) {
			allowed = append(allowed, r)
		}
	}
	return allowed, true
}

// setServers sets the servers of the operation to those of its route's service, in
// the regions that its route and its workspace allow. It reports whether the regions
// allow any. No servers come from elsewhere: the log positions that a statement may
// need are of the same service.
func (n *session) setServers(o *operation, c *cataloger.Catalog) bool {
	o.servers = c.Servers[o.route.Service]
	return n.limitRegions(o, c.Configuration.Workspaces[o.workspace])
}

// limitRegions limits the route of the operation to the regions that the workspace
// allows as well, and the servers of the operation to those regions. It reports
// whether there are any.
func (n *session) limitRegions(o *operation, w cataloger.Workspace) bool {
	allowed, limited := allowedRegions(o.route.Regions, w.Regions)
	if !limited {
		return true
	}
	o.route.Regions = allowed
	o.servers = n.server.serversWithin(o.servers, allowed)
	return len(allowed) > 0
}

// serversWithin returns the servers in the regions, all if there are no regions.
func (s *Server) serversWithin(servers []cataloger.BackendServer, regions []identifier.Region) []cataloger.BackendServer {
	if len(regions) == 0 {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(b cataloger.BackendServer) bool { return !s.isWithin(b.DataCentre, regions) })
}

// isWithin reports whether the data centre is in one of the regions, or there are
// none.
func (s *Server) isWithin(d identifier.DataCentre, regions []identifier.Region) bool {
	return len(regions) == 0 || slices.Contains(regions, s.Regions[d])
}

// mayForward reports whether a statement with these regions may be sent to a peer.
// It may pass through the region of this instance, which the client has chosen.
func (s *Server) mayForward(peer identifier.InstanceID, regions []identifier.Region) bool {
	if len(regions) == 0 {
		return true
	}
	d := s.Holder.Catalog().Instances[peer].DataCentre
	return s.isWithin(d, regions) || s.Regions[d] == s.Region
}
