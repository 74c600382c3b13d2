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

// Sentinel errors of the question to a relay.
var (
	// ErrNoRelay reports that an instance has to ask the store itself.
	ErrNoRelay = errors.New("no relay answers")
	// ErrConnecting reports that a link to the relay is being opened.
	ErrConnecting = errors.New("link to the relay is being opened")
)

const (
	// servedByRelay is the number of instances of a data centre for which
	// there is one relay.
	servedByRelay = 24
	// relayMaxAge is the age of a relay's proof above which the store is asked
	// directly: the relay may have lost the store alone.
	relayMaxAge = 2200 * time.Millisecond
	// connectMaxAge is the age of the own proof up to which the link to a
	// relay is waited for.
	connectMaxAge = 1400 * time.Millisecond
	// RelayTimeout bounds a question to a relay.
	RelayTimeout = 250 * time.Millisecond
)

// RelayAsk asks a relay for its catalog if it differs from the known revision.
type RelayAsk struct {
	Known uint64 `cbor:"known"`
}

// Relayed is the answer. Age is that of the proof; the catalog is nil if it has
// the known revision.
type Relayed struct {
	Proven  bool               `cbor:"proven"`
	Age     time.Duration      `cbor:"age"`
	Catalog *cataloger.Catalog `cbor:"catalog,omitempty"`
}

// Relays returns the instances of the data centre that ask the store for the
// others. Every instance derives the same from the same members.
func Relays(members map[identifier.InstanceID]cataloger.Member, home identifier.DataCentre) []cataloger.Member {
	var local []cataloger.Member
	for _, m := range members {
		if m.DataCentre == home {
			local = append(local, m)
		}
	}
	slices.SortFunc(local, func(a, b cataloger.Member) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a.ID, b.ID))
	})
	count := (len(local) + servedByRelay - 1) / servedByRelay
	return local[:min(count, len(local))]
}

func rank(m cataloger.Member) uint64 {
	return xxhash.Sum64String("relay/" + string(m.ID))
}

// Answer answers a peer's question from what this instance believes.
func (f *Follower) Answer(ask RelayAsk) Relayed {
	age, proven := f.Holder.Age()
	c := f.Holder.Catalog()
	if !proven || c == nil || c.Revision == 0 {
		return Relayed{}
	}
	r := Relayed{Proven: true, Age: age}
	if c.Revision != ask.Known {
		r.Catalog = c
	}
	return r
}

// askRelay brings the catalog up to date from a relay and reports whether that
// took the place of a question to the store. The age of the relay's proof is
// counted from before the question. While a link to the relay is opened and the
// proof is young, the round ends with [ErrConnecting].
func (f *Follower) askRelay(ctx context.Context) (done bool, err error) {
	if f.Relay == nil || !f.isWhole() || f.failures > 0 {
		return false, nil
	}
	asked := f.Holder.Clock()
	r, err := f.Relay(ctx, f.known)
	switch {
	case errors.Is(err, ErrNoRelay):
		return false, nil
	case errors.Is(err, ErrConnecting):
		age, ok := f.Holder.Age()
		return ok && age < connectMaxAge, err
	case err != nil:
		f.Logger.Debug().Str("event", "relay_silent").Err(err).Send()
		return false, nil
	case !r.Proven || r.Age < 0 || r.Age > relayMaxAge:
		return false, nil
	case r.Catalog != nil && !f.take(r.Catalog):
		return false, nil
	}
	f.succeeded = asked
	f.Holder.Prove(asked - r.Age)
	return true, nil
}

// take takes a relay's catalog over. A catalog that is older than the present
// one, or that lacks this instance, is left to the store.
func (f *Follower) take(c *cataloger.Catalog) bool {
	if c.Configuration == nil || c.Revision < f.known || c.Members[f.Self.ID].Address != f.Self.Address {
		return false
	}
	f.replace(func(next *cataloger.Catalog) {
		next.Configuration = newer(next.Configuration, c.Configuration)
		next.Servers, next.Members, next.Revision = c.Servers, c.Members, c.Revision
	})
	f.known = c.Revision
	return true
}
