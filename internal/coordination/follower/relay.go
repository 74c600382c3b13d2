package follower

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Sentinel errors of requests to a relay.
var (
	// ErrNoRelay reports that an instance has to query the store itself.
	ErrNoRelay = errors.New("no relay is available")
	// ErrConnecting reports that a connection to the relay is being opened.
	ErrConnecting = errors.New("connection to the relay is being opened")
)

const (
	// instancesPerRelay is the number of instances of a data centre that share
	// one relay.
	instancesPerRelay = 24
	// maxRelayedProofAge is the age of a relay's proof above which the store is
	// queried directly, because the relay may have lost the store while this
	// instance still reaches it.
	maxRelayedProofAge = 2200 * time.Millisecond
	// maxProofAgeWithoutRelay is the age of the own proof up to which an instance
	// does without an answer of its relay. It leaves time for a query to the store
	// before the permits of the instance end.
	maxProofAgeWithoutRelay = 1400 * time.Millisecond
	// RelayTimeout bounds a request to a relay.
	RelayTimeout = 250 * time.Millisecond
)

// CatalogRequest requests the catalog of a relay if its revision differs from
// the known one.
type CatalogRequest struct {
	Known uint64 `cbor:"known"`
}

// CatalogReply answers a [CatalogRequest]. Age is the age of the relay's proof.
// Catalog is nil if the relay has no proof or its catalog has the known
// revision.
type CatalogReply struct {
	Proven  bool               `cbor:"proven"`
	Age     time.Duration      `cbor:"age"`
	Catalog *cataloger.Catalog `cbor:"catalog,omitempty"`
}

// Relays returns the instances of the data centre that query the store on behalf
// of the others. Every instance derives the same relays from the same members.
func Relays(members map[identifier.InstanceID]cataloger.Instance, dataCentre identifier.DataCentre) []cataloger.Instance {
	var local []cataloger.Instance
	for _, m := range members {
		if m.DataCentre == dataCentre {
			local = append(local, m)
		}
	}
	slices.SortFunc(local, func(a, b cataloger.Instance) int {
		return cmp.Or(cmp.Compare(relayRank(b), relayRank(a)), cmp.Compare(a.ID, b.ID))
	})
	count := (len(local) + instancesPerRelay - 1) / instancesPerRelay
	return local[:min(count, len(local))]
}

// relayRank orders the instances of a data centre; the highest are relays.
func relayRank(m cataloger.Instance) uint64 {
	return xxhash.Sum64String("relay/" + string(m.ID))
}

// Answer answers a peer's request from this instance's own catalog and proof.
func (f *Follower) Answer(request CatalogRequest) CatalogReply {
	age, proven := f.Holder.Age()
	c := f.Holder.Catalog()
	if !proven || c == nil || c.Revision == 0 {
		return CatalogReply{}
	}
	r := CatalogReply{Proven: true, Age: age}
	if c.Revision != request.Known {
		r.Catalog = c
	}
	return r
}

// updateFromRelay updates the catalog from a relay and reports whether the round
// is done without a query to the store. The age of the relay's proof counts from
// before the request was sent. Without an answer, the round is done as long as
// the own proof is recent; with [ErrConnecting] while a connection to the relay is
// opened.
func (f *Follower) updateFromRelay(ctx context.Context) (done bool, err error) {
	if f.Relay == nil || !f.isCatalogComplete() || !f.joined || f.failures > 0 {
		return false, nil
	}
	sent := f.Holder.Clock()
	r, err := f.Relay(ctx, f.knownRevision)
	switch {
	case errors.Is(err, ErrNoRelay):
		return false, nil
	case errors.Is(err, ErrConnecting):
		return f.hasRecentProof(), err
	case err != nil:
		f.Logger.Debug().Str("event", "relay_silent").Err(err).Send()
		return f.hasRecentProof(), nil
	case !r.Proven || r.Age < 0 || r.Age > maxRelayedProofAge:
		return false, nil
	case r.Catalog != nil && !f.adoptCatalog(r.Catalog):
		return false, nil
	}
	f.lastSuccess = sent
	f.Holder.SetProof(sent - r.Age)
	return true, nil
}

func (f *Follower) hasRecentProof() bool {
	age, ok := f.Holder.Age()
	return ok && age < maxProofAgeWithoutRelay
}

// adoptCatalog replaces the catalog by that of a relay and reports whether it
// did. It rejects a catalog that is older than the current one or does not
// contain this instance; the round then queries the store.
func (f *Follower) adoptCatalog(c *cataloger.Catalog) bool {
	if c.Configuration == nil || c.Revision < f.knownRevision || c.Instances[f.Self.ID].Address != f.Self.Address {
		return false
	}
	if f.observeEra(c.Revision) != nil {
		return false
	}
	f.updateCatalog(func(next *cataloger.Catalog) {
		next.Configuration = newerConfiguration(next.Configuration, c.Configuration)
		next.Servers, next.Instances, next.Leaderships, next.Revision = c.Servers, c.Instances, c.Leaderships, c.Revision
	})
	f.knownRevision = c.Revision
	return true
}
