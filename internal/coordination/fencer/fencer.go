package fencer

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// ErrNotLeading reports that a backend server answered that it does not lead, or
// that it was replaced.
var ErrNotLeading = errors.New("backend server does not lead")

// Validity is the maximum age of the proof under which an instance may use a
// primary. It is longer than the age that a proof reaches through two relays, so
// that an instance keeps its permission when one answer is late. An instance that
// replaces a primary waits as long for instances that do not confirm.
const Validity = 1400 * time.Millisecond

// Fencer holds the leadership records that this instance knows. Holder is
// required. It is safe for concurrent use; checking a permit takes no lock and
// allocates nothing.
type Fencer struct {
	// Holder has the proof of the catalog and the clock.
	Holder *cataloger.Holder
	// OnChange is called with each record that replaces an earlier one of its
	// service. It may be nil.
	OnChange func(identifier.ServiceName, cataloger.Leadership)

	mu             sync.Mutex
	records        atomic.Pointer[map[identifier.ServiceName]cataloger.Leadership]
	era            atomic.Uint64
	suspendedUntil atomic.Int64  // Clock reading; 0 while permits are not suspended.
	eraKnownAt     time.Duration // Clock reading of BeginEra, guarded by mu.
}

// Permit is the permission to use a server as the primary of a service.
type Permit struct {
	service identifier.ServiceName
	server  identifier.BackendServerID
	term    identifier.Term
}

// Allows reports whether the permit is for the server. A permit for a service
// whose primary was never replaced is for any server that leads.
func (p Permit) Allows(id identifier.BackendServerID) bool {
	return p.server == "" || p.server == id
}

// Term returns the term of the record, 0 if the primary was never replaced.
func (p Permit) Term() identifier.Term {
	return p.term
}

// Permit returns the permission to use the primary of the service, or false if
// the proof is too old or a replacement is under way.
func (f *Fencer) Permit(service identifier.ServiceName) (Permit, bool) {
	// The proof is read first: the records of its catalog were taken over
	// before it was set, so that the record is not older than the proof.
	proven := f.IsProven()
	r := f.Record(service)
	return Permit{service, r.Server, r.Term}, proven && !r.IsReplacing() && !f.isSuspended()
}

// IsHeld reports whether the permit is still held. An answer counts if it is
// held after the answer has arrived.
func (f *Fencer) IsHeld(p Permit) bool {
	now, ok := f.Permit(p.service)
	return ok && now == p
}

// Record returns the newest known leadership record of the service. It is the
// zero value if the primary was never replaced.
func (f *Fencer) Record(service identifier.ServiceName) cataloger.Leadership {
	records := f.records.Load()
	if records == nil {
		return cataloger.Leadership{}
	}
	return (*records)[service]
}

// IsProven reports whether the proof of the catalog is recent enough to use a
// primary.
func (f *Fencer) IsProven() bool {
	age, ok := f.Holder.Age()
	return ok && age <= Validity
}

func (f *Fencer) isSuspended() bool {
	until := f.suspendedUntil.Load()
	return until != 0 && int64(f.Holder.Clock()) < until
}

// BeginEra suspends all permits, because the store came back from a copy that
// may lack the announcement of a replacement that goes on. They are valid again
// after [Fencer.Resume] for this era, or after the limit, when no such
// replacement can go on. It reports false if the era is not newer.
func (f *Fencer) BeginEra(era uint64, limit time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era <= f.era.Load() {
		return false
	}
	f.eraKnownAt = f.Holder.Clock()
	f.suspendedUntil.Store(int64(f.eraKnownAt + limit))
	f.era.Store(era)
	return true
}

// Resume ends the suspension of the era. It is called once every other instance
// has told its records, so that each replacement that goes on is known.
func (f *Fencer) Resume(era uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era == f.era.Load() {
		f.suspendedUntil.Store(0)
	}
}

// EraAge returns how long this instance has known the present era.
func (f *Fencer) EraAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Holder.Clock() - f.eraKnownAt
}

// Era returns the newest era of the store that this instance knows.
func (f *Fencer) Era() uint64 {
	return f.era.Load()
}

// Observe takes over a record that was read from the store or received from a
// peer, unless a newer one is known. A peer may tell a record from before the
// store came back from an older copy that this instance has already read. It
// returns the newest record.
func (f *Fencer) Observe(service identifier.ServiceName, r cataloger.Leadership) cataloger.Leadership {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.Record(service)
	r = known.Merge(r)
	if r == known {
		return known
	}
	records := map[identifier.ServiceName]cataloger.Leadership{}
	if old := f.records.Load(); old != nil {
		records = maps.Clone(*old)
	}
	records[service] = r
	f.records.Store(&records)
	if f.OnChange != nil {
		f.OnChange(service, r)
	}
	return r
}

// Records returns all known records.
func (f *Fencer) Records() map[identifier.ServiceName]cataloger.Leadership {
	if records := f.records.Load(); records != nil {
		return maps.Clone(*records)
	}
	return nil
}

// ObserveAll takes over the records of a catalog. It must be called before the
// proof of that catalog is set.
func (f *Fencer) ObserveAll(c *cataloger.Catalog) {
	for service, r := range c.Leaderships {
		if r.Revision != f.Record(service).Revision {
			f.Observe(service, r)
		}
	}
}
