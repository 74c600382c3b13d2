package replacer_test

import (
	"context"
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

	"oleanderpulley/internal/coordination/fencer"
	"oleanderpulley/internal/coordination/replacer"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/sampler"
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
)

// modelFault is a fault of one run.
type modelFault struct {
	Kind     string
	At       time.Duration
	Duration time.Duration
	Target   int // Number of an instance or a server.
	// AfterSuccessor makes At count from the moment at which a record with a successor
	// is in the store.
	AfterSuccessor bool
}

// faultKinds has the faults of the primary twice, because only they make the
// instances replace it.
var faultKinds = []string{
	"crash", "crash", "primary cut", "primary cut", "sleep", "cut from peers", "cut from store", "cut from primary",
	"store away", "late promotions", "old copy",
}

// groupFaultKinds are the faults of a replacement that takes effect late, or of which
// an instance does not know.
var groupFaultKinds = []string{"deaf replica", "deaf replica", "crash replica", "drain", "restart"}

func drawFaults(t *rapid.T, kinds []string) []modelFault {
	one := rapid.Custom(func(t *rapid.T) modelFault {
		return modelFault{
			Kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
			At:       time.Duration(rapid.IntRange(2000, 25000).Draw(t, "at")) * time.Millisecond,
			Duration: time.Duration(rapid.IntRange(300, 9000).Draw(t, "duration")) * time.Millisecond,
			Target:   rapid.IntRange(0, modelInstances-1).Draw(t, "target"),
		}
	})
	return rapid.SliceOfN(one, 2, 9).Draw(t, "faults")
}

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
	number    uint64
	era       uint64
	storeAway bool
	late      bool // Promotions are not answered and executed later.
	tokens    map[uint64]identifier.InstanceID
	highest   uint64
	servers   []*modelServer
	instances []*modelInstance
	primary   *modelServer
	term      identifier.Term
	delayed   time.Duration // From the execution of a promotion until the server leads, with what it has received by then.
	reads     []modelRead
	running   sync.WaitGroup
	cutServer *modelServer   // Is reached only by cutWith, which reaches no other server.
	cutWith   *modelInstance // Reaches neither the store nor the others.
}

type storeCopy struct {
	at     time.Duration
	record *cataloger.Leadership
	number uint64
}

type modelInstance struct {
	m        *model
	id       identifier.InstanceID
	holder   cataloger.Holder
	fencer   fencer.Fencer
	replacer replacer.Replacer
	awake    chan struct{} // Closed while the instance is awake.
	cutPeers bool
	cutStore bool
	cutFrom  *modelServer // A server that the instance does not reach.
	lastLed  time.Time
	ledBy    identifier.BackendServerID
	ledTerm  identifier.Term
	samples  sampler.Sampler
	stop     func() // Ends the process of the instance.
	dead     bool
}

func newModel(seed uint64, fenced bool, d defect) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 1)), fenced: fenced, defect: d, start: time.Now(),
		objects: map[string]cataloger.Leadership{}, number: 10, tokens: map[uint64]identifier.InstanceID{}, term: 1,
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

func (m *model) newInstance(number int) *modelInstance {
	i := &modelInstance{m: m, id: identifier.InstanceID(fmt.Sprint("i", number)), awake: make(chan struct{})}
	close(i.awake)
	i.holder.Now = func() time.Duration { return time.Since(m.start) }
	i.holder.Replace(m.catalog(nil))
	i.fencer.Holder = &i.holder
	i.fencer.OnChange = i.leadershipChanged
	r := &i.replacer
	r.Self = i.id
	r.Catalog = i.holder.Catalog
	r.Record = i.fencer.Record
	r.Adopt = func(s identifier.ServiceName, l cataloger.Leadership) { i.fencer.Observe(s, l) }
	r.Clock = i.holder.Clock
	r.Era = i.fencer.Era
	r.IsProven = i.fencer.IsProven
	r.Validity = fencer.Validity
	if m.defect == noWait {
		r.Validity = 0
	}
	r.LastLed = func(identifier.ServiceName) (identifier.BackendServerID, identifier.Term, time.Time) {
		m.mu.Lock()
		defer m.mu.Unlock()
		return i.ledBy, i.ledTerm, i.lastLed
	}
	r.Confirm = func(b cataloger.BackendServer) error { return i.confirm(b.ID) }
	r.Status = func(b cataloger.BackendServer) (requester.ServerStatus, error) { return i.status(b.ID, 0) }
	r.StepDown = func(b cataloger.BackendServer, term identifier.Term) (requester.ServerStatus, error) {
		return i.status(b.ID, term)
	}
	r.QueryPeers = i.queryPeers
	r.Members = func(context.Context) (map[identifier.InstanceID]cataloger.Instance, error) {
		i.pause()
		if !i.reachesStore() {
			return nil, errModelDown
		}
		return m.catalog(nil).Instances, nil
	}
	r.ReadRecord = i.readRecord
	r.WriteRecord = i.writeRecord
	r.Revoke = i.revoke
	r.Announce = i.announce
	r.TokensChecked = m.fenced
	r.Promote = i.promote
	return i
}

// all returns the running instances.
func (m *model) all() []*modelInstance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.instances)
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

func (m *model) catalog(records map[identifier.ServiceName]cataloger.Leadership) *cataloger.Catalog {
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

// pause waits while the instance sleeps, and for the delay of a message.
func (i *modelInstance) pause() {
	i.m.mu.Lock()
	awake := i.awake
	i.m.mu.Unlock()
	<-awake
	i.m.delay()
	i.m.mu.Lock()
	awake = i.awake
	i.m.mu.Unlock()
	<-awake
}

func (i *modelInstance) reachesStore() bool {
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	return !i.cutStore && !i.m.storeAway
}

func (i *modelInstance) reachesPeer(o *modelInstance) bool {
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	return !i.cutPeers && !o.cutPeers && !i.dead && !o.dead
}

// reaches reports whether the instance reaches the server. The caller holds mu.
func (i *modelInstance) reaches(s *modelServer) bool {
	if s.crashed || s == i.cutFrom {
		return false
	}
	return i.m.cutServer == nil || (i == i.m.cutWith) == (s == i.m.cutServer)
}

func (i *modelInstance) confirm(id identifier.BackendServerID) error {
	permit, permitted := i.fencer.Permit(modelService)
	sent := time.Now()
	i.pause()
	i.m.mu.Lock()
	s := i.m.server(id)
	reached, leads := i.reaches(s), s.leads
	term, end := s.term, s.log.position()
	i.m.mu.Unlock()
	i.pause()
	if !reached {
		return errModelDown
	}
	if !leads {
		return fencer.ErrNotLeading
	}
	if permitted && permit.Allows(id) && i.fencer.IsHeld(permit) {
		i.recordLed(id, term, end, sent)
	}
	return nil
}

// recordLed records that the server led when it reported the end of its log.
func (i *modelInstance) recordLed(id identifier.BackendServerID, term identifier.Term, end identifier.Position, sent time.Time) {
	i.samples.Add(sampler.Sample{Position: end, RequestedAt: sent.Sub(i.m.start)})
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	if term >= i.ledTerm {
		i.ledBy, i.ledTerm, i.lastLed = id, term, sent
	}
}

func (i *modelInstance) status(id identifier.BackendServerID, stepDown identifier.Term) (requester.ServerStatus, error) {
	i.pause()
	i.m.mu.Lock()
	s := i.m.server(id)
	if !i.reaches(s) {
		i.m.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		return requester.ServerStatus{}, errModelDown
	}
	if stepDown > s.term {
		s.leads = false
	}
	answer := requester.ServerStatus{Leads: s.leads, Term: s.term, Received: s.log.position()}
	i.m.mu.Unlock()
	i.pause()
	return answer, nil
}

func (i *modelInstance) queryPeers(_ context.Context, _ identifier.ServiceName, since time.Time) replacer.PeerSightings {
	i.pause()
	result := replacer.PeerSightings{Asked: modelInstances - 1}
	for _, o := range i.m.all() {
		if o.id == i.id || !i.reachesPeer(o) {
			continue
		}
		i.m.mu.Lock()
		result.Answered++
		result.Led = result.Led || o.lastLed.After(since)
		i.m.mu.Unlock()
	}
	return result
}

func (i *modelInstance) readRecord(context.Context, identifier.ServiceName) (cataloger.Leadership, error) {
	i.pause()
	defer i.pause()
	if !i.reachesStore() {
		return cataloger.Leadership{}, errModelDown
	}
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	l, ok := i.m.objects["record"]
	if !ok {
		return l, replacer.ErrNoRecord
	}
	l.Revision = cataloger.Revision(i.m.era, l.Revision)
	return l, nil
}

func (i *modelInstance) writeRecord(_ context.Context, _ identifier.ServiceName, l cataloger.Leadership) (cataloger.Leadership, error) {
	i.pause()
	defer i.pause()
	if !i.reachesStore() {
		return cataloger.Leadership{}, errModelDown
	}
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	stored, ok := i.m.objects["record"]
	if (l.Revision == 0) == ok || (ok && stored.Revision != cataloger.ChangeNumber(l.Revision)) {
		return cataloger.Leadership{}, replacer.ErrRecordChanged
	}
	sameEra := l.Revision == 0 || cataloger.Era(l.Revision) == i.m.era
	i.m.number++
	l.Revision, l.Carried = i.m.number, false // The store does not keep Carried.
	i.m.objects["record"] = l
	i.m.saveCopy()
	if !sameEra {
		return cataloger.Leadership{}, replacer.ErrRecordChanged
	}
	l.Revision = cataloger.Revision(i.m.era, l.Revision)
	return l, nil
}

func (m *model) saveCopy() {
	c := storeCopy{at: time.Since(m.start), number: m.number}
	if l, ok := m.objects["record"]; ok {
		c.record = &l
	}
	m.copies = append(m.copies, c)
}

// restore brings the content of the store back from the newest copy that is at
// least as old as the age.
func (m *model) restore(age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found storeCopy
	found.number = 10
	for _, c := range m.copies {
		if c.at <= time.Since(m.start)-age {
			found = c
		}
	}
	delete(m.objects, "record")
	if found.record != nil {
		m.objects["record"] = *found.record
	}
	m.number = found.number
	m.era++
	m.copies = nil
	m.saveCopy()
}

func (i *modelInstance) revoke(_ context.Context, id identifier.InstanceID, _ identifier.ServiceName, l cataloger.Leadership) bool {
	o := i.m.instance(id)
	i.pause()
	if !i.reachesPeer(o) {
		time.Sleep(250 * time.Millisecond)
		return false
	}
	confirmed := make(chan cataloger.Leadership, 1)
	go func() {
		o.pause()
		confirmed <- o.fencer.Observe(modelService, l)
	}()
	select {
	case r := <-confirmed:
		return r.Revision == l.Revision && r.Holder == l.Holder
	case <-time.After(250 * time.Millisecond):
		return false
	}
}

func (i *modelInstance) announce(_ identifier.ServiceName, l cataloger.Leadership) {
	for _, o := range i.m.all() {
		go func() {
			if o.id != i.id && i.reachesPeer(o) {
				o.pause()
				o.fencer.Observe(modelService, l)
			}
		}()
	}
}

func (i *modelInstance) promote(_ context.Context, _ identifier.ServiceName, id identifier.BackendServerID, l cataloger.Leadership) error {
	i.m.mu.Lock()
	if holder, used := i.m.tokens[l.Revision]; used && holder != i.id {
		i.m.broken = append(i.m.broken, fmt.Sprintf("token %d was used by %s and %s", l.Revision, holder, i.id))
	}
	if l.Revision < i.m.highest {
		i.m.broken = append(i.m.broken, fmt.Sprintf("token %d of %s is lower than %d", l.Revision, i.id, i.m.highest))
	}
	i.m.tokens[l.Revision], i.m.highest = i.id, max(i.m.highest, l.Revision)
	late, dead := i.m.late, i.dead
	i.m.mu.Unlock()
	if dead {
		return replacer.ErrPromotionUnknown
	}
	if late {
		time.AfterFunc(2*time.Second, func() { i.m.executePromotion(id) })
		time.Sleep(1500 * time.Millisecond)
		return replacer.ErrPromotionUnknown
	}
	i.m.delay()
	if !i.m.executePromotion(id) {
		return replacer.ErrPromotionRefused
	}
	i.pause()
	return nil
}

// follow polls the store, as package follower does.
func (i *modelInstance) follow(done <-chan struct{}) {
	for {
		i.poll()
		i.m.mu.Lock()
		jitter := time.Duration(i.m.random.IntN(200)) * time.Millisecond
		i.m.mu.Unlock()
		select {
		case <-done:
			return
		case <-time.After(pollPeriod - jitter):
		}
	}
}

func (i *modelInstance) poll() {
	sent := i.holder.Clock()
	i.pause()
	if !i.reachesStore() {
		return
	}
	i.m.mu.Lock()
	records := map[identifier.ServiceName]cataloger.Leadership{}
	if l, ok := i.m.objects["record"]; ok {
		l.Revision = cataloger.Revision(i.m.era, l.Revision)
		records[modelService] = l
	}
	era := i.m.era
	i.m.mu.Unlock()
	i.pause()
	if era < i.fencer.Era() {
		return
	}
	if era > i.fencer.Era() && i.m.defect != noEra && i.fencer.BeginEra(era, replacer.TakeoverTimeout) {
		go i.collectRecords(era)
	}
	c := i.m.catalog(records)
	c.Revision = cataloger.Revision(era, 1)
	i.holder.Replace(c)
	i.fencer.ObserveAll(c)
	i.holder.SetProof(sent)
}

// collectRecords does what an instance does when the store came back from a
// copy.
func (i *modelInstance) collectRecords(era uint64) {
	for _, o := range i.m.all() {
		if o.id == i.id {
			continue
		}
		if !i.reachesPeer(o) {
			return // The suspension ends by itself.
		}
		o.pause()
		o.fencer.BeginEra(era, replacer.TakeoverTimeout)
		for service, l := range o.fencer.Records() {
			i.fencer.Observe(service, l)
		}
	}
	i.fencer.Resume(era)
}

// write sends writes to the server that the instance takes for the primary.
func (i *modelInstance) write(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(120 * time.Millisecond):
		}
		i.replacer.RecordUse(modelService)
		permit, ok := i.fencer.Permit(modelService)
		if !ok {
			continue
		}
		i.m.mu.Lock()
		target := i.ledBy
		i.m.mu.Unlock()
		if r := i.fencer.Record(modelService); r.Server != "" {
			target = r.Server
		}
		if target == "" {
			_ = i.confirm("a")
			continue
		}
		if permit.Allows(target) {
			i.writeTo(target, permit)
		}
	}
}

func (i *modelInstance) writeTo(id identifier.BackendServerID, permit fencer.Permit) {
	sent := time.Now()
	i.pause()
	i.m.mu.Lock()
	s := i.m.server(id)
	if !i.reaches(s) || !s.leads {
		i.m.mu.Unlock()
		return
	}
	commit := i.m.commit(s)
	replaced := s != i.m.primary
	term := s.term
	i.m.mu.Unlock()
	i.pause()
	if !i.fencer.IsHeld(permit) && i.m.defect != noRecheck {
		return
	}
	i.m.mu.Lock()
	dead := i.dead
	i.m.mu.Unlock()
	if dead {
		return
	}
	i.recordLed(id, term, commit.position(), sent)
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	i.m.acked++
	commit.acked = time.Now()
	if replaced {
		i.m.broken = append(i.m.broken, fmt.Sprintf("%s acknowledged at %v a write that replaced primary %s ran, primary %s",
			i.id, time.Since(i.m.start), id, i.m.primary.id))
	}
}

// awaitSuccessor waits until the record in the store has a successor, or the run ends.
func (m *model) awaitSuccessor() {
	for time.Since(m.start) < modelLength {
		m.mu.Lock()
		chosen := m.objects["record"].Successor != ""
		m.mu.Unlock()
		if chosen {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// holder returns the number of the instance that replaces the primary, by the record in
// the store.
func (m *model) holder() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.IndexFunc(m.instances, func(i *modelInstance) bool { return i.id == m.objects["record"].Holder })
}

func (m *model) inject(f modelFault) {
	if f.AfterSuccessor {
		m.awaitSuccessor()
	}
	time.Sleep(f.At)
	i := m.all()[f.Target]
	set := func(change func(on bool)) {
		m.mu.Lock()
		change(true)
		m.mu.Unlock()
		time.Sleep(f.Duration)
		m.mu.Lock()
		change(false)
		m.mu.Unlock()
	}
	switch f.Kind {
	case "sleep":
		awake := make(chan struct{})
		m.mu.Lock()
		i.awake = awake
		m.mu.Unlock()
		time.Sleep(f.Duration)
		close(awake)
	case "cut from peers":
		set(func(on bool) { i.cutPeers = on })
	case "cut from store":
		set(func(on bool) { i.cutStore = on })
	case "cut of the holder from store":
		if n := m.holder(); n >= 0 {
			i = m.all()[n]
			set(func(on bool) { i.cutStore = on })
		}
	case "cut from primary":
		set(func(on bool) {
			i.cutFrom = nil
			if on {
				i.cutFrom = m.primary
			}
		})
	case "crash":
		var s *modelServer
		set(func(on bool) {
			if on {
				s = m.primary
			}
			s.crashed = on
			s.leads = s.leads && s == m.primary
		})
	case "crash replica":
		s := m.replica(f.Target)
		set(func(on bool) { s.crashed = on })
	case "crash of a server":
		set(func(on bool) { m.servers[f.Target].crashed = on })
	case "deaf replica":
		s := m.replica(f.Target)
		set(func(on bool) { s.deaf = on })
	case "drain":
		var s *modelServer
		set(func(on bool) {
			if on {
				s = m.primary
			}
			s.draining = on
		})
	case "restart":
		m.restart(f.Target, f.Duration)
	case "restart of others":
		for n := range modelInstances {
			if n != m.holder() {
				m.running.Go(func() { m.restart(n, f.Duration) })
			}
		}
	case "store away":
		set(func(on bool) { m.storeAway = on })
	case "late promotions":
		set(func(on bool) { m.late = on })
	case "old copy":
		set(func(on bool) { m.storeAway = on })
		m.restore(4 * time.Second)
	case "primary cut":
		set(func(on bool) {
			m.cutServer, m.cutWith = nil, nil
			if on {
				m.cutServer, m.cutWith = m.primary, i
			}
			i.cutPeers, i.cutStore = on, on
		})
	}
}

// run plays the faults and returns what was broken.
func (m *model) run(faults []modelFault) {
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
		if !i.dead {
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
	var m *model
	synctest.Test(t, func(*testing.T) {
		m = newModel(seed, fenced, d)
		m.run(faults)
	})
	return m
}

// Guards against a write that a replaced primary ran and that is acknowledged
// (ONE, STALE), and against fencing tokens that two holders use or that fall.
func TestModelKeepsOnePrimary(t *testing.T) {
	acked, promoted := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawFaults(rt, faultKinds)
		fenced := rapid.Bool().Draw(rt, "fenced")
		m := playModel(t, rapid.Uint64().Draw(rt, "seed"), fenced, noDefect, faults)
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
