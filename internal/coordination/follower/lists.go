package follower

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// lists are the lists of the store that one round has read.
type lists struct {
	leaderships map[identifier.ServiceName]cataloger.Leadership
	servers     map[identifier.ServiceName][]cataloger.BackendServer
	members     map[identifier.InstanceID]cataloger.Instance
	evacuations map[identifier.DataCentre]cataloger.Evacuation

	hasServers, hasMembers, hasEvacuations bool // Which have been read; the records always are.

	// removedServers is the number of known servers that the list of servers lacks. It
	// is 0 if the store may have removed some of them after the query of its revision.
	removedServers int
}

// coversChanges reports whether the lists hold every change of the store between the
// two revisions. Each change has a revision of its own, so that none is left for
// another list if the entries have as many newer ones. An entry that was changed twice
// is not covered, nor is a removed one other than a server.
func (l *lists) coversChanges(known, revision cataloger.Revision) bool {
	if known.IsZero() || known.Era != revision.Era {
		return false
	}
	changed := uint64(l.removedServers)
	count := func(r cataloger.Revision) {
		if r.IsAfter(known) && !r.IsAfter(revision) {
			changed++
		}
	}
	for _, r := range l.leaderships {
		if !r.IsUnreadable() { // Its revision may be that of the list.
			count(r.Revision)
		}
	}
	for _, servers := range l.servers {
		for _, s := range servers {
			count(s.Revision)
		}
	}
	for _, m := range l.members {
		count(m.Revision)
	}
	for _, e := range l.evacuations {
		count(e.Revision)
	}
	return changed == revision.Number-known.Number
}

// readLists reads the lists that may have changed and proves the catalog as of sent,
// the time before the query that returned the leadership records and the revision. If
// that query returned no records, they are read as well.
func (f *Follower) readLists(ctx context.Context, sent time.Duration, leaderships map[identifier.ServiceName]cataloger.Leadership, revision cataloger.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, listsTimeout)
	defer cancel()
	l := lists{leaderships: leaderships}
	if l.leaderships == nil {
		var err error
		if l.leaderships, _, err = f.Store.Leaderships(ctx); err != nil {
			return err
		}
	}
	covered, listsErr := f.readUntilCovered(ctx, &l, revision)
	if !covered {
		// Withdrawn keys must not wait for other lists that cannot be read.
		if err := f.readConfiguration(ctx, &l, sent, revision); err != nil {
			return err
		}
		if listsErr == nil {
			listsErr = f.readMissing(ctx, &l, revision)
		}
	}
	if listsErr != nil {
		return listsErr
	}
	if l.hasMembers {
		f.adoptPeerConfigurations(ctx, l.members)
	}
	f.adoptLists(&l, sent, revision)
	return nil
}

// readUntilCovered reads the lists other than the configuration, which is the largest
// one and changes most seldom, until they cover all changes since the known
// revision. It reads nothing while entries are kept that the store does not have.
func (f *Follower) readUntilCovered(ctx context.Context, l *lists, revision cataloger.Revision) (covered bool, err error) {
	c := f.Holder.Catalog()
	if !f.isCatalogComplete() || c.Retained > 0 || f.lapseGraceEnd > 0 || f.restored || len(f.missingSince) > 0 {
		return false, nil
	}
	for _, read := range []func(context.Context, *lists, cataloger.Revision) error{f.readServers, f.readMembers, f.readEvacuations} {
		if l.coversChanges(f.knownRevision, revision) {
			return true, nil
		}
		if err := read(ctx, l, revision); err != nil {
			return false, err
		}
	}
	return l.coversChanges(f.knownRevision, revision), nil
}

// readMissing reads the lists that have not been read in this round.
func (f *Follower) readMissing(ctx context.Context, l *lists, revision cataloger.Revision) error {
	if !l.hasServers {
		if err := f.readServers(ctx, l, revision); err != nil {
			return err
		}
	}
	if !l.hasMembers {
		if err := f.readMembers(ctx, l, revision); err != nil {
			return err
		}
	}
	if !l.hasEvacuations {
		return f.readEvacuations(ctx, l, revision)
	}
	return nil
}

// readConfiguration reads the configuration and publishes it before the other lists.
func (f *Follower) readConfiguration(ctx context.Context, l *lists, sent time.Duration, revision cataloger.Revision) error {
	configuration, read, err := f.Store.Configuration(ctx)
	if err != nil {
		return err
	}
	if err := sameEra("configuration", read, revision); err != nil {
		return err
	}
	f.updateCatalog(func(c *cataloger.Catalog) {
		c.Configuration = newerConfiguration(c.Configuration, configuration)
		c.Leaderships = l.leaderships
		c.Revision = cataloger.Revision{}
	})
	if !f.knownRevision.IsZero() {
		f.Holder.SetProof(sent)
	}
	return nil
}

func (f *Follower) readServers(ctx context.Context, l *lists, revision cataloger.Revision) error {
	servers, read, err := f.Store.Servers(ctx)
	if err != nil {
		return err
	}
	l.servers, l.hasServers = servers, true
	if read == revision {
		l.removedServers = removedServers(f.Holder.Catalog(), servers)
	}
	return sameEra("servers", read, revision)
}

// removedServers returns the number of servers of the catalog that the lists lack,
// also under another service.
func removedServers(c *cataloger.Catalog, read map[identifier.ServiceName][]cataloger.BackendServer) (removed int) {
	if c == nil {
		return 0
	}
	present := map[identifier.BackendServerID]bool{}
	for _, servers := range read {
		for _, s := range servers {
			present[s.ID] = true
		}
	}
	for _, servers := range c.Servers {
		for _, s := range servers {
			if !present[s.ID] {
				removed++
			}
		}
	}
	return removed
}

func (f *Follower) readMembers(ctx context.Context, l *lists, _ cataloger.Revision) error {
	members, err := f.members(ctx)
	l.members, l.hasMembers = members, err == nil
	return err
}

// readEvacuations reads the evacuated data centres, none if they cannot be
// evacuated.
func (f *Follower) readEvacuations(ctx context.Context, l *lists, revision cataloger.Revision) error {
	if f.Store.Evacuations == nil {
		l.hasEvacuations = true
		return nil
	}
	evacuations, read, err := f.Store.Evacuations(ctx)
	if err != nil {
		return err
	}
	l.evacuations, l.hasEvacuations = evacuations, true
	return sameEra("evacuations", read, revision)
}

// sameEra returns [ErrEraChanged] if the store came back from a copy between the
// query of its revision and the answer with a list.
func sameEra(list string, read, revision cataloger.Revision) error {
	if read.Era != revision.Era {
		return errors.Wrapf(ErrEraChanged, "era %d in the list of %s, %d before", read.Era, list, revision.Era)
	}
	return nil
}

// adoptLists publishes the catalog with the lists that were read, and proves it. The
// first proof needs the complete catalog: an instance that does not see its own
// registration has no share of any rate.
func (f *Follower) adoptLists(l *lists, sent time.Duration, revision cataloger.Revision) {
	c := cataloger.Catalog{}
	if known := f.Holder.Catalog(); known != nil {
		c = *known
	}
	c.Leaderships, c.Revision, c.Retained = l.leaderships, revision, 0
	if l.hasServers {
		c.Servers, c.Retained = l.servers, f.retainLapsedServers(l.servers)
	}
	if l.hasMembers {
		c.Retained += f.retainRemovedInstances(l.members, sent)
		c.Instances = l.members
	}
	if l.hasEvacuations {
		evacuations, retained := f.retainEvacuations(l.evacuations)
		c.Evacuations = evacuations
		c.Retained += retained
	}
	f.updateCatalog(func(next *cataloger.Catalog) { *next = c })
	f.knownRevision = revision
	f.Holder.SetProof(sent)
}
