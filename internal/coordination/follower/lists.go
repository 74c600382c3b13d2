package follower

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// readLists reads the lists and proves the catalog as of sent, the time before
// the query that returned the leadership records and the revision. If that query
// returned no records, they are read as well.
func (f *Follower) readLists(ctx context.Context, sent time.Duration, leaderships map[identifier.ServiceName]cataloger.Leadership, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, listsTimeout)
	defer cancel()
	if leaderships == nil {
		var err error
		if leaderships, _, err = f.Store.Leaderships(ctx); err != nil {
			return err
		}
	}
	configuration, configurationRevision, err := f.Store.Configuration(ctx)
	if err != nil {
		return err
	}
	f.updateCatalog(func(c *cataloger.Catalog) {
		c.Configuration = newerConfiguration(c.Configuration, configuration)
		c.Leaderships = leaderships
		c.Revision = 0
	})
	if f.knownRevision != 0 {
		f.Holder.SetProof(sent)
	}
	servers, serversRevision, err := f.Store.Servers(ctx)
	if err != nil {
		return err
	}
	members, err := f.members(ctx)
	if err != nil {
		return err
	}
	evacuations, evacuationsRevision, err := f.readEvacuations(ctx, revision)
	if err != nil {
		return err
	}
	for list, listRevision := range map[string]uint64{
		"configuration": configurationRevision, "servers": serversRevision, "evacuations": evacuationsRevision,
	} {
		if cataloger.Era(listRevision) != cataloger.Era(revision) {
			return errors.Wrapf(ErrEraChanged, "era %d in the list of %s, %d before", cataloger.Era(listRevision), list, cataloger.Era(revision))
		}
	}
	f.adoptPeerConfigurations(ctx, members)
	retained := f.retainLapsedServers(servers)
	retained += f.retainRemovedInstances(members, sent)
	evacuations, retainedEvacuations := f.retainEvacuations(evacuations)
	f.updateCatalog(func(c *cataloger.Catalog) {
		c.Servers, c.Instances, c.Evacuations = servers, members, evacuations
		c.Revision, c.Retained = revision, retained+retainedEvacuations
	})
	f.knownRevision = revision
	// The first proof needs the complete catalog: an instance that does not
	// see its own registration has no share of any rate.
	f.Holder.SetProof(sent)
	return nil
}

// readEvacuations reads the evacuated data centres, none if they cannot be
// evacuated.
func (f *Follower) readEvacuations(ctx context.Context, revision uint64) (map[identifier.DataCentre]cataloger.Evacuation, uint64, error) {
	if f.Store.Evacuations == nil {
		return nil, revision, nil
	}
	return f.Store.Evacuations(ctx)
}
