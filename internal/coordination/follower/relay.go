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
	// instancesPerRelay is the number of instances that share one relay.
	instancesPerRelay = 24
	// maxRelayedProofAge is the age of a relay's proof above which the store is
	// queried directly, because the relay may have lost the store while this
	// instance still reaches it.
	maxRelayedProofAge = time.Second
	// maxProofAgeWithoutRelay is the age of the own proof up to which an instance
	// does without its relay. It leaves time for a query to the store before the
	// permits of the instance end.
	maxProofAgeWithoutRelay = time.Second
	// RelayTimeout bounds a request to a relay.
	RelayTimeout = 250 * time.Millisecond
	// MaxProofAge is the age that a proof reaches through two relays while each
	// request is answered at once.
	MaxProofAge = (defaultPeriod + 2*relayPeriod) * 9 / 8 // With jitter.
)

// CatalogRequest requests the catalog of a relay if its revision is higher than
// the known one, or if it retains other entries. An instance that starts knows none, and gets the newest
// configuration and records even if the sender has no proof of its catalog.
type CatalogRequest struct {
	Known    uint64 `cbor:"known"`
	Retained int    `cbor:"retained"` // [cataloger.Catalog.Retained] of the known one.
}

// CatalogReply answers a [CatalogRequest]. Age is the age of the relay's proof.
// Catalog is nil if the relay has no proof or its catalog is not newer than the
// known revision. Its configuration is nil if it has not changed since.
type CatalogReply struct {
	Proven  bool               `cbor:"proven"`
	Age     time.Duration      `cbor:"age"`
	Catalog *cataloger.Catalog `cbor:"catalog,omitempty"`
}

// Parent returns the instance that the given one asks for the catalog, and false
// if that one queries the store itself. The instances of a data centre ask one of
// its relays, and the relays ask a root among them, so that neither the calls of
// the store nor the traffic between data centres grow with the instances. Every
// instance derives the same tree from the same members.
func Parent(members map[identifier.InstanceID]cataloger.Instance, self identifier.InstanceID) (identifier.InstanceID, bool) {
	byDataCentre := map[identifier.DataCentre][]identifier.InstanceID{}
	for id, m := range members {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], id)
	}
	local := chooseRelays(byDataCentre[members[self].DataCentre])
	if !slices.Contains(local, self) {
		return pick(local, self)
	}
	var relays []identifier.InstanceID
	for _, ids := range byDataCentre {
		relays = append(relays, chooseRelays(ids)...)
	}
	roots := chooseRelays(relays)
	if slices.Contains(roots, self) {
		return "", false
	}
	return pick(roots, self)
}

// chooseRelays returns the instances that serve as relays for all the given ones.
func chooseRelays(ids []identifier.InstanceID) []identifier.InstanceID {
	slices.SortFunc(ids, func(a, b identifier.InstanceID) int {
		return cmp.Or(cmp.Compare(relayRank(b), relayRank(a)), cmp.Compare(a, b))
	})
	count := (len(ids) + instancesPerRelay - 1) / instancesPerRelay
	return slices.Clone(ids[:count])
}

// pick spreads the instances over the relays.
func pick(relays []identifier.InstanceID, self identifier.InstanceID) (identifier.InstanceID, bool) {
	if len(relays) == 0 {
		return "", false
	}
	return relays[xxhash.Sum64String(string(self))%uint64(len(relays))], true
}

// relayRank orders instances; the highest are relays.
func relayRank(id identifier.InstanceID) uint64 {
	return xxhash.Sum64String("relay/" + string(id))
}

// Answer answers a peer's request from this instance's own catalog and proof.
func (f *Follower) Answer(request CatalogRequest) CatalogReply {
	age, proven := f.Holder.Age()
	c := f.Holder.Catalog()
	if c != nil && request.Known == 0 {
		return CatalogReply{Proven: proven && c.Revision != 0, Age: age, Catalog: c}
	}
	if !proven || c == nil || c.Revision == 0 {
		return CatalogReply{}
	}
	r := CatalogReply{Proven: true, Age: age}
	// An older catalog of the relay proves the asker's newer one as well: the store
	// had nothing newer when it answered the relay.
	if c.Revision > request.Known || (c.Revision == request.Known && c.Retained != request.Retained) {
		r.Catalog = c.Since(request.Known)
	}
	return r
}

// updateFromRelay updates the catalog from a relay and reports whether the round
// is done without a query to the store. The age of the relay's proof counts from
// before the request was sent. Without a proof of the relay, the round is done as
// long as the own one is recent; with [ErrConnecting] while a connection to the
// relay is opened.
func (f *Follower) updateFromRelay(ctx context.Context) (done bool, err error) {
	if f.Relay == nil || !f.isCatalogComplete() || !f.joined {
		return false, nil
	}
	sent := f.Holder.Clock()
	r, err := f.Relay(ctx, CatalogRequest{Known: f.knownRevision, Retained: f.Holder.Catalog().Retained})
	switch {
	case errors.Is(err, ErrNoRelay):
		return false, nil
	case errors.Is(err, ErrConnecting):
		return f.hasRecentProof(), err
	case err != nil:
		f.Logger.Debug().Str("event", "relay_silent").Err(err).Send()
		return f.hasRecentProof(), nil
	case !r.Proven || r.Age < 0 || r.Age > maxRelayedProofAge:
		return f.hasRecentProof(), nil
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
	if c.Revision < f.knownRevision || c.Instances[f.Self.ID].Address != f.Self.Address {
		return false
	}
	if f.observeEra(c.Revision) != nil {
		return false
	}
	f.updateCatalog(func(next *cataloger.Catalog) {
		if c.Configuration != nil {
			next.Configuration = newerConfiguration(next.Configuration, c.Configuration)
		}
		next.Servers, next.Instances, next.Leaderships = c.Servers, c.Instances, c.Leaderships
		next.Revision, next.Retained = c.Revision, c.Retained
	})
	f.knownRevision = c.Revision
	return true
}
