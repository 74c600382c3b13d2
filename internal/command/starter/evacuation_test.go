package starter_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newZonedPlatform returns a platform whose servers are in three data centres:
// the primary a in centro, b in north and c in south.
func newZonedPlatform(t *testing.T) *testPlatform {
	p := newTestPlatform(t)
	p.zones = map[string]string{"b": "north", "c": "south"}
	p.registerServers()
	return p
}

func (p *testPlatform) evacuate(dataCentres ...string) {
	for _, d := range dataCentres {
		p.store.Put("evacuations", d, map[string]any{})
	}
}

// awaitServed repeats the statement until a client gets a success for it, and
// returns the server that ran it.
func (p *testPlatform) awaitServed(c *lineClient, statement string) string {
	server := ""
	waitUntil(p.t, "served: "+statement, func() bool {
		for _, line := range c.send(statement) {
			if id, found := strings.CutPrefix(line, "COMPLETE sig-"); found {
				server = id
				return true
			}
		}
		return false
	})
	return server
}

// awaitPrimaryElsewhere waits until another server than the given one leads.
func (p *testPlatform) awaitPrimaryElsewhere(server string) {
	waitUntil(p.t, "the primary has moved", func() bool {
		leader := p.group.Primary()
		return leader != "" && leader != server
	})
}

// assertNothingRan checks that no statement of a client reached the server after
// the time.
func (p *testPlatform) assertNothingRan(server string, after time.Time) {
	for _, e := range p.group.Executions() {
		qt.Check(p.t, e.Server == server && e.ID != "-" && e.At.After(after), qt.IsFalse, qt.Commentf("%+v", e))
	}
}

// Guards against a primary that stays in an evacuated data centre, a statement of an
// open transaction that reaches it after the bound, a commit that is lost with the
// hand-over, and a second hand-over when the request is removed.
func TestEvacuatedPrimaryMoves(t *testing.T) {
	p := newZonedPlatform(t)
	i := p.startInstance("one")
	c, open := dialLine(t, i.address), dialLine(t, i.address)
	for _, client := range []*lineClient{c, open} {
		client.send("STARTUP booking key-1")
	}
	qt.Assert(t, p.awaitServed(c, "QUERY w0 WRITE x 1"), qt.Equals, "a")
	open.send("QUERY t0 BEGIN")
	open.send("QUERY t1 READ x")
	requested := time.Now()
	p.evacuate("centro")
	p.awaitPrimaryElsewhere("a")
	leader := p.group.Primary()
	qt.Assert(t, p.awaitServed(c, "QUERY w1 WRITE x 2"), qt.Equals, leader)
	qt.Assert(t, open.send("QUERY t2 READ x")[0], qt.Contains, "ERROR ")
	waitUntil(t, "the bound has passed", func() bool { return time.Since(requested) > evacuationLimit })
	p.awaitServed(c, "QUERY r1 READ x")
	p.assertNothingRan("a", requested.Add(evacuationLimit))
	for _, commit := range p.group.Commits() {
		qt.Assert(t, commit.Discarded, qt.IsFalse)
	}
	p.store.Remove("evacuations", "centro")
	waitUntil(t, "the evacuation has ended", func() bool { return strings.Contains(i.logs.String(), `"event":"evacuation_ended"`) })
	qt.Assert(t, p.awaitServed(c, "QUERY w2 WRITE x 3"), qt.Equals, leader)
}

// Guards against statements that wait for their deadline while every server of a
// service is evacuated, and against a service that does not come back.
func TestServiceWithEvacuatedServersAloneRefusesAtOnce(t *testing.T) {
	p := newZonedPlatform(t)
	i := p.startInstance("one")
	writer, reader := dialLine(t, i.address), dialLine(t, i.address)
	writer.send("STARTUP booking key-1")
	reader.send("STARTUP catalogue key-1")
	p.awaitServed(writer, "QUERY w0 WRITE x 1")
	p.awaitServed(reader, "QUERY r0 READ x")
	p.evacuate("centro", "north", "south")
	for _, client := range []*lineClient{reader, writer} {
		waitUntil(t, "refused", func() bool {
			sent := time.Now()
			answer := client.send("QUERY r1 READ x")[0]
			return strings.HasPrefix(answer, "ERROR BUSY") && strings.Contains(answer, "evacuated") && time.Since(sent) < 100*time.Millisecond
		})
	}
	qt.Assert(t, p.store.Promotions(), qt.HasLen, 0)
	p.store.Remove("evacuations", "south")
	qt.Assert(t, p.awaitServed(writer, "QUERY w1 WRITE x 2"), qt.Equals, "c")
}

// Guards against a primary that stays, or two servers that are promoted, when the
// instance that moves it is killed between the order and its answer.
func TestEvacuationSurvivesItsHolder(t *testing.T) {
	p := newZonedPlatform(t)
	one, two := p.startInstance("one"), p.startInstance("two")
	for _, i := range []*testInstance{one, two} {
		c := dialLine(t, i.address)
		c.send("STARTUP booking key-1")
		p.awaitServed(c, "QUERY w0 WRITE x 1")
	}
	p.store.DelayPromotions(100, time.Hour) // No promotion is answered or executed.
	p.evacuate("centro")
	waitUntil(t, "a promotion is requested", func() bool { return len(p.store.Promotions()) > 0 })
	survivor := one
	for _, i := range []*testInstance{one, two} {
		if i.Settings.InstanceID == p.leadershipRecord().Holder {
			i.Close()
		} else {
			survivor = i
		}
	}
	p.store.DelayPromotions(0, 0)
	c := dialLine(t, survivor.address)
	c.send("STARTUP booking key-1")
	p.awaitPrimaryElsewhere("a")
	qt.Assert(t, p.awaitServed(c, "QUERY w1 WRITE x 2"), qt.Equals, p.group.Primary())
}
