package fencer

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Validity is the maximum age of the proof under which an instance may use a
// primary. It is longer than the period of the proofs, so that an instance keeps
// its permission when one of them is late. An instance that replaces a primary
// waits as long for instances that do not confirm.
const Validity = 3 * time.Second

// Fencer holds the leadership records that this instance knows. Holder is
// required. It is safe for concurrent use; checking a permit takes no lock and
// allocates nothing.
type Fencer struct {
	// Holder has the proof of the catalog and the clock.
	Holder *cataloger.Holder
	// OnChange is called with each record that replaces an earlier one of its
	// service. It may be nil.
	OnChange func(identifier.ServiceName, cataloger.Leadership)

	mu      sync.Mutex
	records atomic.Pointer[map[identifier.ServiceName]cataloger.Leadership]
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
	return Permit{service, r.Server, r.Term}, proven && !r.IsReplacing()
}

// IsHeld reports whether the permit is still held. An answer counts if it is
// held after the answer has arrived.
func (f *Fencer) IsHeld(p Permit) bool {
	now, ok := f.Permit(p.service)
	return ok && now == p
}

// IsReplacing reports whether a replacement of the service's primary is under
// way.
func (f *Fencer) IsReplacing(service identifier.ServiceName) bool {
	return f.Record(service).IsReplacing()
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

// Observe takes over a record that was read from the store or received from a
// peer, unless a newer one is known. It returns the newest record.
func (f *Fencer) Observe(service identifier.ServiceName, r cataloger.Leadership) cataloger.Leadership {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.Record(service)
	if !r.Supersedes(known) {
		return known
	}
	r.Term = max(r.Term, known.Term)
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

// ObserveAll takes over the records of a catalog. It must be called before the
// proof of that catalog is set.
func (f *Fencer) ObserveAll(c *cataloger.Catalog) {
	for service, r := range c.Leaderships {
		if r.Supersedes(f.Record(service)) {
			f.Observe(service, r)
		}
	}
}
