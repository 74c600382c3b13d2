package replacer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// The model runs replacers and fencers of several instances against a simulated
// store, platform and database group, in simulated time. Instances sleep at any
// point and start again, links are cut, servers crash, drain or receive nothing, calls
// of the platform are executed late, and the store comes back from older copies. The
// instances write at the primary and read at all servers; each read has a floor, like
// those of package sessioner.

const (
	modelService   = identifier.ServiceName("rentals")
	modelInstances = 4
	modelLength    = 40 * time.Second
	pollPeriod     = time.Second
)

var errModelDown = errors.New("no answer")

// defect is a mechanism that a run of the model leaves out, to show that the
// model needs it.
type defect string

const (
	noDefect  defect = ""
	noWait    defect = "no wait for instances that do not confirm"
	noRecheck defect = "no check of the permit after the answer"
	noEra     defect = "no suspension when the store came back from a copy"

	noOpenPromotions defect = "no wait for unanswered promotions"
)

// model is the state of one run. All fields are guarded by mu.
type model struct {
	mu       sync.Mutex
	random   *rand.Rand
	fenced   bool // A promotion ends the old primary.
	defect   defect
	start    time.Time
	broken   []string // What breaks the rule of one primary.
	stale    []string // Reads on old logs.
	acked    int
	promoted int

	objects   map[string]cataloger.Leadership // At most the record of the service.
	copies    []storeCopy
	numbering modelNumbering
	number    uint64
	era       uint64
	storeAway bool
	late      bool // Promotions are not answered and executed later.
	// unanswered is the number of the next promotions that are not answered, each of
	// which is executed lateBy after its request.
	unanswered int
	lateBy     time.Duration
	lateLimit  time.Duration // After which no unanswered promotion has an effect, as the instances know.
	tokens     map[uint64]identifier.InstanceID
	highest    uint64
	servers    []*modelServer
	instances  []*modelInstance
	primary    *modelServer
	term       identifier.Term
	delayed    time.Duration // From the execution of a promotion until the server leads, with what it has received by then.
	reads      []modelRead
	running    sync.WaitGroup
	cutServer  *modelServer   // Is reached only by cutWith, which reaches no other server.
	cutWith    *modelInstance // Reaches neither the store nor the others.
}

func newModel(seed uint64, fenced bool, d defect) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 1)), fenced: fenced, defect: d, start: time.Now(),
		objects: map[string]cataloger.Leadership{}, numbering: modelNumbering{first: 10}, number: 10, tokens: map[uint64]identifier.InstanceID{}, term: 1,
	}
	for i := range 3 {
		m.servers = append(m.servers, &modelServer{id: identifier.BackendServerID(rune('a' + i)), term: 1})
	}
	m.delayed = minPromotionDelay + time.Duration(m.random.IntN(int(maxPromotionDelay-minPromotionDelay)))
	m.primary = m.servers[0]
	m.primary.leads = true
	for i := range modelInstances {
		m.instances = append(m.instances, m.newInstance(i))
	}
	return m
}

// all returns the running instances.
func (m *model) all() []*modelInstance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.instances)
}

func (m *model) isDead(i *modelInstance) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return i.dead
}

func (m *model) instance(id identifier.InstanceID) *modelInstance {
	for _, i := range m.all() {
		if i.id == id {
			return i
		}
	}
	return nil
}

func (m *model) server(id identifier.BackendServerID) *modelServer {
	for _, s := range m.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// catalog returns the catalog with the records. The caller does not hold mu.
func (m *model) catalog(records map[identifier.ServiceName]cataloger.Leadership) *cataloger.Catalog {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &cataloger.Catalog{
		Configuration: &cataloger.Configuration{Services: map[identifier.ServiceName]cataloger.Service{modelService: {}}},
		Servers:       map[identifier.ServiceName][]cataloger.BackendServer{},
		Instances:     map[identifier.InstanceID]cataloger.Instance{},
		Leaderships:   records,
	}
	for _, s := range m.servers {
		c.Servers[modelService] = append(c.Servers[modelService], cataloger.BackendServer{ID: s.id, Service: modelService, Draining: s.draining})
	}
	for n := range modelInstances {
		id := identifier.InstanceID(fmt.Sprint("i", n))
		c.Instances[id] = cataloger.Instance{ID: id}
	}
	return c
}

// delay is the time that one message takes.
func (m *model) delay() {
	m.mu.Lock()
	d := time.Duration(500+m.random.IntN(4500)) * time.Microsecond
	m.mu.Unlock()
	time.Sleep(d)
}

// run plays the faults and returns what was broken.
func (m *model) run(faults []modelFault) {
	if m.lateLimit = lateLimit(faults); m.defect == noOpenPromotions {
		m.lateLimit = 0
	}
	for _, i := range m.all() {
		m.begin(i)
	}
	done := make(chan struct{})
	m.running.Go(func() { m.replicate(done) })
	var injected sync.WaitGroup
	for _, f := range faults {
		injected.Go(func() { m.inject(f) })
	}
	time.Sleep(modelLength)
	injected.Wait()
	for _, i := range m.all() {
		if !m.isDead(i) {
			i.stop()
		}
	}
	time.Sleep(5 * time.Second) // Ends late promotions and messages.
	close(done)
	m.running.Wait()
	m.checkReads()
}

// playModel runs the model in simulated time.
func playModel(t *testing.T, seed uint64, fenced bool, d defect, faults []modelFault) *model {
	return playNumberedModel(t, seed, fenced, d, modelNumbering{first: 10}, faults)
}

func playNumberedModel(t *testing.T, seed uint64, fenced bool, d defect, n modelNumbering, faults []modelFault) *model {
	var m *model
	synctest.Test(t, func(*testing.T) {
		m = newModel(seed, fenced, d)
		m.numbering, m.number, m.era = n, n.first, n.era
		m.run(faults)
	})
	return m
}

// Guards against a write that a replaced primary ran and that is acknowledged
// (ONE, STALE), and against fencing tokens that two holders use or that fall, however the store
// numbers its changes.
func TestModelKeepsOnePrimary(t *testing.T) {
	acked, promoted := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawFaults(rt, faultKinds)
		fenced := rapid.Bool().Draw(rt, "fenced")
		seed := rapid.Uint64().Draw(rt, "seed")
		m := playNumberedModel(t, seed, fenced, noDefect, drawNumbering(seed), faults)
		acked, promoted = acked+m.acked, promoted+m.promoted
		if len(m.broken) > 0 {
			rt.Fatalf("%d broken, first: %s", len(m.broken), m.broken[0])
		}
	})
	t.Logf("%d writes acknowledged, %d promotions", acked, promoted)
	qt.Assert(t, promoted > 0, qt.IsTrue)
}

// Guards against writes at an earlier primary that is promoted again, before that takes
// effect (ONE). Where promotions do not end the old primary, it answers that it leads.
func TestEarlierPrimaryIsNotUsedBeforeItLeadsAgain(t *testing.T) {
	for seed := range uint64(30) {
		m := playModel(t, seed, false, noDefect, []modelFault{
			{Kind: "crash", At: seconds(5), Duration: seconds(2)},
			{Kind: "late promotions", At: seconds(5), Duration: seconds(6.2)},
			{Kind: "crash of a server", AfterSuccessor: true, At: seconds(3.05), Duration: seconds(6), Target: 1},
		})
		qt.Assert(t, m.broken[:min(len(m.broken), 1)], qt.HasLen, 0, qt.Commentf("seed %d, %d broken", seed, len(m.broken)))
		qt.Assert(t, m.promoted >= 2, qt.IsTrue)
	}
}

// Guards against a model that cannot fail: without the wait for the permits, the
// check after the answer or the suspension in a new era, a replaced primary's
// write is acknowledged.
func TestModelFindsMissingMechanisms(t *testing.T) {
	const from, length = 5 * time.Second, 9 * time.Second
	othersCut := []modelFault{
		{Kind: "cut from primary", At: from, Duration: length, Target: 1},
		{Kind: "cut from primary", At: from, Duration: length, Target: 2},
		{Kind: "cut from primary", At: from, Duration: length, Target: 3},
	}
	scenarios := map[defect]func(seed uint64) []modelFault{
		// The first instance has a recent proof when the others announce the
		// replacement, and neither they nor the store can tell it.
		noWait: func(uint64) []modelFault {
			return append(slices.Clone(othersCut),
				modelFault{Kind: "cut from peers", At: from, Duration: length},
				modelFault{Kind: "cut from store", At: from + 900*time.Millisecond, Duration: length},
			)
		},
		// The first instance wakes while the replaced primary still leads on.
		noRecheck: func(seed uint64) []modelFault {
			slept := 2400*time.Millisecond + time.Duration(seed)*60*time.Millisecond
			return append(slices.Clone(othersCut), modelFault{Kind: "sleep", At: from, Duration: slept})
		},
		// The first instance learns of the replacement neither from its peers nor
		// from the store, which loses the announcement while the promotion is
		// under way.
		noEra: func(seed uint64) []modelFault {
			restored := from + 3500*time.Millisecond + time.Duration(seed)*150*time.Millisecond
			return append(slices.Clone(othersCut),
				modelFault{Kind: "cut from peers", At: from, Duration: length},
				modelFault{Kind: "cut from store", At: from, Duration: restored - from + 100*time.Millisecond},
				modelFault{Kind: "late promotions", At: from, Duration: length},
				modelFault{Kind: "old copy", At: restored - 50*time.Millisecond, Duration: 50 * time.Millisecond},
			)
		},
	}
	for d, faults := range scenarios {
		t.Run(string(d), func(t *testing.T) {
			broken := 0
			for seed := range uint64(30) {
				broken += len(playModel(t, seed, false, d, faults(seed)).broken)
				whole := playModel(t, seed, false, noDefect, faults(seed)).broken
				qt.Assert(t, whole[:min(len(whole), 1)], qt.HasLen, 0, qt.Commentf("seed %d", seed))
			}
			t.Logf("%d broken", broken)
			qt.Assert(t, broken > 0, qt.IsTrue)
		})
	}
}
