package follower

import (
	"context"
	"time"

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
// the known one, or if it retains other entries. An instance that starts knows
// none, and gets the newest configuration and records even if the sender has no
// proof of its catalog.
type CatalogRequest struct {
	Known    cataloger.Revision `cbor:"known"`
	Retained int                `cbor:"retained"`         // [cataloger.Catalog.Retained] of the known one.
	Digest   uint64             `cbor:"digest,omitempty"` // Of the known catalog, or 0 to get a whole one.
	// MaxAge is the age of a proof above which the requester continues with another
	// instance. 0 means maxRelayedProofAge.
	MaxAge time.Duration `cbor:"max_age,omitempty"`
	// ProvenOnly requests no catalog without a recent proof. It is set by an instance
	// that starts and repeats the request until its relay has one.
	ProvenOnly bool `cbor:"proven_only,omitempty"`
	// Late means that the relays of an instance that starts have not answered in time,
	// so that others are asked too.
	Late bool `cbor:"-"`
	// Fetch requests an update whatever its size is.
	Fetch bool `cbor:"fetch,omitempty"`
}

// CatalogReply answers a [CatalogRequest]. Age is the age of the relay's proof.
// Update is nil if the relay has no proof or its catalog is not newer than the known
// revision. It is a change if the relay knows the catalog with the digest of the
// request, and a whole catalog otherwise, whose configuration is nil if it has not
// changed since.
type CatalogReply struct {
	Proven bool              `cbor:"proven"`
	Age    time.Duration     `cbor:"age"`
	Update *cataloger.Update `cbor:"update,omitempty"`
	// UpdateBytes is the size of an update that is newer than the known revision and
	// has to be fetched. The proof is that of the newer catalog.
	UpdateBytes int `cbor:"update_bytes,omitempty"`
	// Wait is the time after which to fetch an update again that the sender's link
	// cannot carry now.
	Wait time.Duration `cbor:"wait,omitempty"`
	// From is the sender. It is set by the requester.
	From identifier.InstanceID `cbor:"-"`
	// Fallback is 0 if the proof came over the tree, 1 if the sender is a fallback
	// relay that queried the store, and one more for each further instance.
	Fallback int `cbor:"fallback,omitempty"`
	// Querying means that the sender has no recent proof and queries the store.
	Querying bool `cbor:"querying,omitempty"`
	// Late means that the proof is older than the requester asked for. It is set by
	// the requester.
	Late bool `cbor:"-"`
}

// IsRecent reports whether the reply has a proof that is recent enough to be used.
func (r CatalogReply) IsRecent() bool {
	return r.Proven && r.Age >= 0 && r.Age <= maxRelayedProofAge
}

// Answer answers a peer's request from this instance's own catalog and proof. If
// the proof is too old for the requester, this instance queries the store in a
// round that begins at once, and serves as a fallback relay while it is asked.
func (f *Follower) Answer(request CatalogRequest) CatalogReply {
	age, proven := f.Holder.Age()
	c := f.Holder.Catalog()
	if c != nil && request.Known.IsZero() {
		r := CatalogReply{Proven: proven && !c.Revision.IsZero(), Age: age}
		if request.ProvenOnly && !r.IsRecent() {
			return r
		}
		return f.attach(r, f.history.updateTo(c, cataloger.Revision{}, 0), request)
	}
	if !proven || c == nil || c.Revision.IsZero() {
		return CatalogReply{}
	}
	r := CatalogReply{Proven: true, Age: age, Fallback: int(f.fallbackHops.Load()), Querying: f.observeRequest(request, age)}
	// An older catalog of the relay proves the asker's newer one as well: the store
	// had nothing newer when it answered the relay.
	if request.Known.IsAfter(c.Revision) || (c.Revision == request.Known && c.Retained == request.Retained) {
		return r
	}
	return f.attach(r, f.history.updateTo(c, request.Known, request.Digest), request)
}

// observeRequest records a request for a proof and reports whether the store is
// queried for it.
func (f *Follower) observeRequest(request CatalogRequest, age time.Duration) (querying bool) {
	maxAge := request.MaxAge
	if maxAge <= 0 {
		maxAge = maxRelayedProofAge
	}
	switch {
	case age > maxAge:
	case f.fallbackHops.Load() > maxFallbackHops:
		maxAge = time.Nanosecond // The requester may not be able to use the present proof, whatever its age is.
	default:
		f.Fallback.ObserveServed(f.Holder.Clock())
		return false
	}
	due, querying := f.Fallback.ObserveRequest(f.Holder.Clock(), maxAge)
	if due {
		f.wake()
	}
	return querying
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
	known := f.Holder.Catalog()
	request := CatalogRequest{Known: f.knownRevision, Retained: known.Retained, Digest: f.history.digest(known)}
	r, err := f.Relay(ctx, request)
	switch {
	case errors.Is(err, ErrNoRelay):
		return false, nil
	case errors.Is(err, ErrQueryStore):
		f.isFallbackQuery = true
		return false, nil
	case errors.Is(err, ErrProofRecent):
		return true, nil
	case errors.Is(err, ErrConnecting):
		return f.searchOn(), err
	case err != nil:
		f.Logger.Debug().Str("event", "relay_silent").Err(err).Send()
		return f.searchOn(), nil
	case !r.IsRecent():
		return f.searchOn(), nil
	case r.UpdateBytes > 0:
		f.startTransfer(ctx, r, request)
		return true, nil
	case r.Update != nil && f.updatedCatalog(r.Update) == nil:
		return f.searchOn(), nil
	case !f.adoptReply(sent, r):
		return false, nil
	}
	f.searches = r.Late
	return true, nil
}

// searchOn ends a round without a proof. It reports whether the round is done
// without a query to the store.
func (f *Follower) searchOn() (done bool) {
	f.searches = true
	f.isFallbackQuery = f.fallsBack()
	return !f.isFallbackQuery
}

// adoptCatalog replaces the catalog by that of a relay and reports whether it
// did. It rejects a catalog that is older than the current one or does not
// contain this instance; the round then queries the store.
func (f *Follower) adoptCatalog(c *cataloger.Catalog) bool {
	if f.knownRevision.IsAfter(c.Revision) || c.Instances[f.Self.ID].Address != f.Self.Address {
		return false
	}
	if f.observeEra(c.Revision) != nil {
		return false
	}
	f.updateCatalog(func(next *cataloger.Catalog) {
		if c.Configuration != nil {
			next.Configuration = newerConfiguration(next.Configuration, c.Configuration)
		}
		next.Servers, next.Instances, next.Leaderships, next.Evacuations = c.Servers, c.Instances, c.Leaderships, c.Evacuations
		next.Revision, next.Retained = c.Revision, c.Retained
	})
	f.knownRevision = c.Revision
	return true
}
