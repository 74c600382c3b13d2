package promoter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/promoter"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
)

var errNoAnswer = errors.New("no answer")

// model simulates a database group, a platform and a network in virtual time. The
// delay of each message is derived from the seed, so that the seed determines the
// order of events.
type model struct {
	mu            sync.Mutex
	members       map[identifier.BackendServerID]*modelMember
	servers       []identifier.BackendServerID
	record        promoter.GroupRecord
	version       uint64
	platformDown  bool            // The platform does not answer.
	loseAnswers   bool            // Updates of the platform take effect, but return an error.
	partitioned   map[string]bool // Partitioned links, "caller/server" or "server/server".
	draining      identifier.BackendServerID
	evacuated     map[identifier.BackendServerID]bool
	maxDelay      time.Duration // Limit for the usual one-way delay of a message; 1 in 20 takes 20 times as long.
	seed          uint64
	messages      map[string]uint64
	lastWriteID   int
	acks          []ack
	floors        []claim
	ages          []claim
	falseCoverage string                   // First false report of an instance that a member covers a position.
	extraDelay    map[string]time.Duration // Additional delay of messages, by kind and caller.
	lastAttempt   int
}

// modelMember models a backend server of the group.
type modelMember struct {
	tracker.MemberStatus
	holder  string
	log     []int // Ids of writes; offset n is the end of the n-th write.
	follows identifier.BackendServerID
	down    bool
}

// ack is a write that an instance acknowledged to its client.
type ack struct {
	id      int
	term    identifier.Term
	durable bool
	at      time.Time
	offset  identifier.LogOffset
}

// claim is an instance's report that the log up to a position contains every write
// that was acknowledged before a time.
type claim struct {
	before   time.Time
	position identifier.Position
}

func newModel(seed uint64, n int) *model {
	m := &model{
		members: map[identifier.BackendServerID]*modelMember{}, partitioned: map[string]bool{},
		evacuated: map[identifier.BackendServerID]bool{},
		messages:  map[string]uint64{}, extraDelay: map[string]time.Duration{}, seed: seed, maxDelay: 20 * time.Millisecond,
	}
	for i := range n {
		id := identifier.BackendServerID(fmt.Sprintf("m%d", i))
		m.servers = append(m.servers, id)
		m.members[id] = &modelMember{follows: m.servers[0], MemberStatus: tracker.MemberStatus{
			Server: id, Incarnation: "1", Role: tracker.Replica, Term: 1, Promised: 1, History: []tracker.TermStart{{Term: 1}},
		}}
	}
	m.members[m.servers[0]].Role = tracker.Primary
	return m
}

// delay returns a pseudo-random delay for the next message of a kind. The caller
// must hold mu.
func (m *model) delay(kind string) time.Duration {
	m.messages[kind]++
	hash := m.seed
	for _, b := range []byte(fmt.Sprintf("%s#%d", kind, m.messages[kind])) {
		hash = (hash ^ uint64(b)) * 1099511628211
	}
	r := rand.New(rand.NewPCG(hash, m.seed))
	d := time.Duration(r.Int64N(int64(m.maxDelay))) + time.Duration(r.Int64N(1000))
	if r.IntN(20) == 0 {
		d *= 20
	}
	return d
}

// call sends a message, runs f at the server, and returns the answer. It returns
// errNoAnswer if the server is down, or the link is partitioned when the message
// or its answer arrives.
func (m *model) call(ctx context.Context, caller, kind string, server identifier.BackendServerID, f func(*modelMember) error) (tracker.MemberStatus, error) {
	key := caller + "/" + string(server)
	m.mu.Lock()
	requestDelay, answerDelay := m.delay(kind+key)+m.extraDelay[kind+caller], m.delay(kind+key)
	m.mu.Unlock()
	if err := sleep(ctx, requestDelay); err != nil {
		return tracker.MemberStatus{}, err
	}
	m.mu.Lock()
	s := m.members[server]
	lost := m.partitioned[key] || s.down
	var err error
	if !lost {
		err = f(s)
	}
	st := s.status()
	m.mu.Unlock()
	if lost {
		_ = sleep(ctx, time.Second)
		return tracker.MemberStatus{}, errNoAnswer
	}
	if err := sleep(ctx, answerDelay); err != nil {
		return tracker.MemberStatus{}, err
	}
	m.mu.Lock()
	lost = m.partitioned[key]
	m.mu.Unlock()
	if lost {
		return tracker.MemberStatus{}, errNoAnswer
	}
	return st, err
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *modelMember) status() tracker.MemberStatus {
	st := s.MemberStatus
	st.Received = identifier.LogOffset(len(s.log))
	st.Applied = st.Received
	st.History = slices.Clone(s.History)
	return st
}

func (s *modelMember) fence(term identifier.Term, holder string) error {
	if term < s.Promised || term == s.Promised && holder != s.holder {
		return promoter.ErrRefused
	}
	s.Promised, s.holder = term, holder
	return nil
}

func (s *modelMember) promote(term identifier.Term, holder string) error {
	if term != s.Promised || holder != s.holder {
		return promoter.ErrRefused
	}
	if s.Role != tracker.Primary || s.Term != term {
		s.Role, s.Term = tracker.Primary, term
		s.History = append(s.History, tracker.TermStart{Term: term, Offset: identifier.LogOffset(len(s.log))})
	}
	return nil
}

func (s *modelMember) follow(term identifier.Term, server identifier.BackendServerID) error {
	if term < s.Promised || s.Role == tracker.Primary && s.Term >= term {
		return promoter.ErrRefused
	}
	if term > s.Promised {
		s.Promised, s.holder = term, ""
	}
	s.Role, s.follows = tracker.Replica, server
	return nil
}

// write commits one write at a primary that has promised no later term.
func (m *model) write(s *modelMember, id int) (identifier.Position, error) {
	if s.Role != tracker.Primary || s.Promised > s.Term {
		return identifier.Position{}, errNoAnswer
	}
	s.log = append(s.log, id)
	return identifier.Position{Term: s.Term, Offset: identifier.LogOffset(len(s.log))}, nil
}

// replicate copies to each replica the log of the primary that it follows, until
// the context ends.
func (m *model) replicate(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		for _, id := range m.servers {
			r := m.members[id]
			p := m.members[r.follows]
			if r.Role == tracker.Replica && !r.down && p != nil && !p.down && p.Role == tracker.Primary &&
				p.Term >= r.Promised && !m.partitioned[string(id)+"/"+string(p.Server)] {
				r.log = slices.Clip(p.log) // Logs are append-only, so they can share memory.
				r.Term, r.History = p.Term, slices.Clone(p.History)
			}
		}
		d := m.delay("replicate")
		m.mu.Unlock()
		_ = sleep(ctx, d*3)
	}
}

// callPlatform simulates the delay of a platform call, or its failure.
func (m *model) callPlatform(ctx context.Context, caller string) error {
	m.mu.Lock()
	d, down := m.delay("platform"+caller), m.platformDown
	m.mu.Unlock()
	if down {
		return errNoAnswer
	}
	return sleep(ctx, d)
}

func (m *model) readGroup(ctx context.Context, caller string) (promoter.GroupRecord, uint64, error) {
	if err := m.callPlatform(ctx, caller); err != nil {
		return promoter.GroupRecord{}, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.record, m.version, nil
}

func (m *model) updateGroup(ctx context.Context, caller string, rec promoter.GroupRecord, ifVersion uint64) (uint64, error) {
	if err := m.callPlatform(ctx, caller); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.version != ifVersion {
		return 0, errNoAnswer
	}
	m.record = rec
	m.version++
	if m.loseAnswers {
		return 0, errNoAnswer
	}
	return m.version, nil
}

// primary returns the primary of the newest term. The caller must hold mu.
func (m *model) primary() identifier.BackendServerID {
	best := m.servers[0]
	for _, id := range m.servers {
		if s := m.members[id]; s.Role == tracker.Primary && s.Term >= m.members[best].Term {
			best = id
		}
	}
	return best
}

// isPartitioned reports whether the link is partitioned.
func (m *model) isPartitioned(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.partitioned[key]
}

// withLock calls f while it holds mu.
func (m *model) withLock(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// violation returns a description of the first violation of the guarantees, or "".
func (m *model) violation() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var last *modelMember
	for _, id := range m.servers {
		if s := m.members[id]; s.Role == tracker.Primary && s.Promised <= s.Term && (last == nil || s.Term > last.Term) {
			last = s
		}
	}
	if last == nil {
		return ""
	}
	var newest ack
	for _, a := range m.acks {
		if a.durable && !slices.Contains(last.log, a.id) {
			return fmt.Sprintf("durable write %d of term %d is missing in term %d", a.id, a.term, last.Term)
		}
		// A write that the former primary committed before it answered the fence is
		// part of the newer term, even if its answer arrives later.
		if a.term < newest.term && !slices.Contains(last.log, a.id) {
			return fmt.Sprintf("write %d of term %d acknowledged at %s, after write %d of term %d", a.id, a.term, a.at.Format("05.000"), newest.id, newest.term)
		}
		if a.term > newest.term {
			newest = a
		}
	}
	if m.falseCoverage != "" {
		return m.falseCoverage
	}
	return m.falseClaim(last)
}

// falseClaim returns a description of a floor or age whose position does not
// include a write that was acknowledged before the claimed time and that the log
// of the last term contains, or "".
func (m *model) falseClaim(last *modelMember) string {
	index := map[int]int{}
	for n, id := range last.log {
		index[id] = n
	}
	var final tracker.Group
	final.Observe(last.status(), time.Time{}, time.Time{})
	// The acknowledgements are sorted by time. highest[n] is the largest index in
	// the last log of any of the first n acknowledged writes.
	highest := make([]int, len(m.acks)+1)
	highest[0] = -1
	for n, a := range m.acks {
		highest[n+1] = highest[n]
		if kept, ok := index[a.id]; ok {
			highest[n+1] = max(highest[n], kept)
		}
	}
	for kind, claims := range map[string][]claim{"floor": m.floors, "age": m.ages} {
		for _, c := range claims {
			n, _ := slices.BinarySearchFunc(m.acks, c.before, func(a ack, t time.Time) int { return a.at.Compare(t) })
			if highest[n] >= int(c.position.Offset) && final.Covers(last.Server, c.position) == tracker.Covered {
				return fmt.Sprintf("%s %s at %s misses write %d", kind, c.position, c.before.Format("05.000"), last.log[highest[n]])
			}
		}
	}
	return ""
}
