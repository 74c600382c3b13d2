package follower

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Sentinel errors of a search.
var (
	// ErrQueryStore reports that an instance without a recent proof queries the store
	// itself, beside the requests to others.
	ErrQueryStore = errors.New("no proof from a relay; the store is queried")
	// ErrProofRecent reports that no request is needed in this round.
	ErrProofRecent = errors.New("the proof is recent")
)

const (
	// searchMargin is added to the age that a proof has in an answer in the steady
	// state. An older one shows that a query further up was not answered.
	searchMargin = 150 * time.Millisecond
	// maxProofAgeForRelays and maxProofAgeForOthers are the ages of an answer's
	// proof above which the requester continues with another instance.
	maxProofAgeForRelays = defaultPeriod*9/8 + searchMargin
	maxProofAgeForOthers = (defaultPeriod+relayPeriod)*9/8 + searchMargin

	// searchPeriod is the time between the first requests of an instance that
	// searches for a proof. After quickSearch rounds without one it is
	// longSearchPeriod, because then most likely no instance reaches the store.
	searchPeriod     = 50 * time.Millisecond
	quickSearch      = 10
	longSearchPeriod = 200 * time.Millisecond

	// localRequestTimeout and distantRequestTimeout bound a request to a candidate
	// of the own data centre and of another one, after the first one without an
	// answer. They cover several round trips.
	localRequestTimeout   = 60 * time.Millisecond
	distantRequestTimeout = 120 * time.Millisecond
	// exclusion is the time for which an instance without a recent proof is not
	// asked again. It is longer for one that has repeatedly had none, so that the
	// search gets to all of them, and shorter for a parent, so that the tree is used
	// once it has proofs again.
	exclusion       = time.Second
	parentExclusion = 500 * time.Millisecond
	// requestedHops is the [CatalogReply.Fallback] of a proof that an instance has
	// requested outside of the tree: the query of the store and the request.
	requestedHops = 2
	// maxFallbackHops is the largest [CatalogReply.Fallback] of a proof that is used,
	// except by the instances of a data centre from their relay.
	maxFallbackHops = 2
	// linkWait is the time for which a candidate is not passed over while its link is
	// being opened.
	linkWait = 150 * time.Millisecond
	// maxDials is the number of links that one step of a search opens.
	maxDials = 3
	// silentRequests is the number of requests in succession without any answer
	// after which an instance whose proof is maxProofAgeWithoutRelay old considers
	// itself cut off from the others. Those to parents do not count, because all
	// relays of a data centre may have failed.
	silentRequests = 3
)

// Search chooses whom an instance asks for a proof, and when it queries the store
// itself. In the steady state these are its parents in the tree. If they have no
// recent proof, the next candidates are asked, and each candidate that has none
// queries the store ([Fallback]). The order is nearly the same everywhere, so that
// the instances find the same few candidates. It is used by one goroutine.
type Search struct {
	Self      identifier.InstanceID
	Holder    *cataloger.Holder
	Fallback  *Fallback
	Connected func(identifier.InstanceID) bool // Opens a link if there is none.
	Request   func(ctx context.Context, to identifier.InstanceID, request CatalogRequest) (CatalogReply, error)

	candidates Candidates
	excluded   map[identifier.InstanceID]excludedCandidate
	dialled    map[identifier.InstanceID]time.Duration // Since when their links are being opened.
	unanswered bool                                    // The last request.
	silent     int                                     // Requests in succession without an answer.
}

type excludedCandidate struct {
	until    time.Duration // Clock reading.
	failures int
}

// searchStep is the next step of a search. The zero value waits for links.
type searchStep struct {
	ask     identifier.InstanceID // Empty unless an instance is asked.
	store   bool                  // Query the store.
	rest    bool                  // The proof is recent enough until the next round.
	regular bool                  // By the tree; a fallback otherwise.
	waits   bool                  // No link is open, but some are being opened.
}

// Adopt takes over the instances of a catalog.
func (s *Search) Adopt(members map[identifier.InstanceID]cataloger.Instance) {
	t := newTree(members)
	s.candidates = t.candidates(s.Self)
	s.Fallback.setInterval(t.fallbackInterval(s.Self))
	for id := range s.excluded {
		if _, ok := members[id]; !ok {
			delete(s.excluded, id)
		}
	}
	clear(s.dialled)
}

// Fetch requests the catalog from the next candidate. It returns [ErrNoRelay] or
// [ErrQueryStore] if this instance queries the store now, and [ErrConnecting] if a
// link has to be opened first.
func (s *Search) Fetch(ctx context.Context, request CatalogRequest) (CatalogReply, error) {
	now := s.Holder.Clock()
	step := s.next(now)
	if request.Known.IsZero() {
		step = s.nextOfStart(now, request.Late)
	}
	switch {
	case step.store && step.regular:
		return CatalogReply{}, ErrNoRelay
	case step.store:
		s.exclude(now, s.Self)
		return CatalogReply{}, ErrQueryStore
	case step.rest:
		return CatalogReply{}, ErrProofRecent
	case step.ask == "":
		if step.waits {
			s.silent++
		}
		return CatalogReply{}, ErrConnecting
	}
	request.MaxAge = s.maxAge()
	ctx, cancel := context.WithTimeout(ctx, s.requestTimeout(step.ask))
	defer cancel()
	r, err := s.Request(ctx, step.ask, request)
	s.observe(step, request, r, err)
	r.From = step.ask
	r.Late = r.Age > s.maxAge()
	switch {
	case !s.accepts(step, r):
		return CatalogReply{}, err
	case r.Fallback > 0:
		r.Fallback++
	case !step.regular:
		r.Fallback = requestedHops
	}
	return r, err
}

// nextOfStart returns the next step of an instance that starts. It asks its parents
// alone, unless it is late.
func (s *Search) nextOfStart(now time.Duration, late bool) searchStep {
	c := s.candidates
	if c.parents == 0 && len(c.order) < 2 {
		return searchStep{store: true, regular: true}
	}
	w := walk{search: s, now: now}
	w.over(c.order[:c.parents])
	if late {
		w.over(c.order[c.parents:])
	}
	w.step.regular = w.step.ask != "" && c.isParent(w.step.ask)
	return w.step
}

// next returns the next step of an instance that has a catalog.
func (s *Search) next(now time.Duration) searchStep {
	c := s.candidates
	age, recent := s.proofAge()
	switch {
	case s.Fallback.isWanted(now, age):
		return searchStep{store: true}
	case c.parents == 0 && (len(c.order) < 2 || s.Fallback.isRegular(now)):
		return searchStep{store: true, regular: true}
	}
	w := walk{search: s, now: now, ownTurn: !recent && s.Fallback.Due(now)}
	w.over(c.order[:c.parents])
	if !recent || s.haveParentsFailed() {
		switch {
		case w.step.ask != "" || !s.Fallback.Serves(now):
		case s.Fallback.Due(now):
			return searchStep{store: true}
		case recent:
			return searchStep{rest: true}
		}
		w.over(c.order[c.parents:])
	}
	if s.silent >= silentRequests && age >= maxProofAgeWithoutRelay && s.Fallback.Due(now) {
		return searchStep{store: true}
	}
	w.step.regular = w.step.ask != "" && c.isParent(w.step.ask)
	return w.step
}

// walk is one pass over the candidates. It ends at the first one that can be asked.
// While the first parent does not answer, links to the following ones are opened
// meanwhile.
type walk struct {
	search  *Search
	now     time.Duration
	ownTurn bool // The store may be queried when the walk comes to this instance.
	step    searchStep
	dials   int
	ahead   int // Candidates after the one that is asked.
}

func (w *walk) over(candidates []identifier.InstanceID) {
	s := w.search
	for _, id := range candidates {
		if w.step.ask != "" {
			w.ahead++
		}
		if w.dials == maxDials || w.ahead > maxDials || w.step.store || w.step.ask == s.candidates.order[0] {
			return
		}
		switch {
		case w.now < s.excluded[id].until:
		case id == s.Self:
			w.step.store = w.ownTurn && w.step.ask == "" && !w.step.waits
		case s.Connected(id):
			delete(s.dialled, id)
			if w.step.ask == "" {
				w.step.ask = id
			}
		default:
			w.step.waits = w.step.waits || w.step.ask == ""
			if s.awaitLink(w.now, id) {
				w.dials++
			}
		}
	}
}

// awaitLink records that the link to a candidate is being opened, and excludes the
// candidate if that takes long. It reports whether that has just begun.
func (s *Search) awaitLink(now time.Duration, id identifier.InstanceID) (begun bool) {
	if s.dialled == nil {
		s.dialled = map[identifier.InstanceID]time.Duration{}
	}
	switch since := s.dialled[id]; {
	case since == 0:
		s.dialled[id] = now
		return true
	case now-since > linkWait:
		delete(s.dialled, id)
		s.exclude(now, id)
	}
	return false
}

// haveParentsFailed reports whether a parent gave no recent proof. Otherwise a
// search waits for links to the parents as long as the own proof is recent.
func (s *Search) haveParentsFailed() bool {
	parents := s.candidates.order[:s.candidates.parents]
	return len(parents) == 0 || slices.ContainsFunc(parents, func(id identifier.InstanceID) bool {
		return s.excluded[id].failures > 0
	})
}

// observe records the outcome of a request.
func (s *Search) observe(step searchStep, request CatalogRequest, r CatalogReply, err error) {
	now := s.Holder.Clock()
	s.unanswered = err != nil
	switch {
	case err == nil:
		s.silent = 0
	case !s.candidates.isTreeParent[step.ask]:
		s.silent++
	}
	switch {
	case request.Known.IsZero():
		if err != nil || !r.IsRecent() {
			s.excludeFor(step.ask, now+connectingPeriod, 0)
		}
	case err == nil && r.Proven && r.Age <= s.maxAge() && s.accepts(step, r):
		s.observeProof(now, step, r)
	case err == nil && r.Querying && s.excluded[step.ask].until == 0:
		s.excludeFor(step.ask, now, 0) // Asked once more when its query is answered.
	default:
		s.exclude(now, step.ask)
	}
}

// observeProof records a recent proof. A parent that gets its proofs from a
// fallback relay, perhaps from this one, does not replace a query of the store.
func (s *Search) observeProof(now time.Duration, step searchStep, r CatalogReply) {
	delete(s.excluded, step.ask)
	switch {
	case step.regular && r.Fallback == 0:
		s.Fallback.End()
		clear(s.excluded)
		clear(s.dialled)
	case step.regular && s.Fallback.Serves(now):
		s.excludeFor(step.ask, now+parentExclusion, 0)
	}
}

// accepts reports whether the proof of a reply may be used. One that has been
// forwarded outside of the tree is not forwarded further, except from a relay to
// its data centre: otherwise two instances could get the same proof from each other
// until it is old.
func (s *Search) accepts(step searchStep, r CatalogReply) bool {
	return r.Fallback <= maxFallbackHops || step.regular && !s.candidates.isRelay
}

// exclude excludes a candidate for a while.
func (s *Search) exclude(now time.Duration, id identifier.InstanceID) {
	failures := s.excluded[id].failures
	d := exclusion << min(failures, 6)
	if s.candidates.isParent(id) {
		d = parentExclusion
	}
	s.excludeFor(id, now+min(d, max(exclusion, time.Duration(len(s.candidates.order))*longSearchPeriod)), failures+1)
}

func (s *Search) excludeFor(id identifier.InstanceID, until time.Duration, failures int) {
	if s.excluded == nil {
		s.excluded = map[identifier.InstanceID]excludedCandidate{}
	}
	s.excluded[id] = excludedCandidate{until, failures}
}

// maxAge returns the age of an answer's proof above which the search continues.
func (s *Search) maxAge() time.Duration {
	if s.candidates.isRelay {
		return maxProofAgeForRelays
	}
	return maxProofAgeForOthers
}

// proofAge returns the age of the own proof and whether it is recent.
func (s *Search) proofAge() (age time.Duration, recent bool) {
	age, ok := s.Holder.Age()
	return age, ok && age <= s.maxAge()
}

// requestTimeout returns the time for which a request waits. It is shorter after
// one that was not answered, because the own proof may end soon.
func (s *Search) requestTimeout(to identifier.InstanceID) time.Duration {
	switch {
	case !s.unanswered:
		return RelayTimeout
	case s.candidates.isNear[to]:
		return localRequestTimeout
	default:
		return distantRequestTimeout
	}
}
