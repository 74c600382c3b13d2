package starter_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/cataloger"
)

// leadershipRecord returns the leadership record in the store.
func (p *testPlatform) leadershipRecord() (l cataloger.Leadership) {
	for _, o := range p.store.Objects("leases") {
		qt.Assert(p.t, json.Unmarshal(o.Spec, &l), qt.IsNil)
		l.Revision = cataloger.Revision{Number: o.Meta.Revision}
	}
	return l
}

// failOver makes the primary unresponsive until another server leads.
func (p *testPlatform) failOver(c *lineClient) {
	previous := p.group.Primary()
	p.members[previous].PauseReplication(true)
	p.members[previous].SetUnresponsive(true)
	waitUntil(p.t, "the primary is replaced", func() bool {
		c.send("QUERY f READ x")
		l := p.leadershipRecord()
		return !l.IsReplacing() && l.Term == 2
	})
	p.members[previous].SetUnresponsive(false)
}

// Guards against writes that are acknowledged by a replaced primary that leads on:
// every instance uses the new one, and the old one is stepped down by those that
// still reach it.
func TestReplacedPrimaryThatLeadsOnIsNotUsed(t *testing.T) {
	p := newTestPlatform(t)
	p.group.Unfenced = true
	p.store.Unfenced = true
	one, two := p.startInstance("one"), p.startInstance("two")
	clients := []*lineClient{dialLine(t, one.address), dialLine(t, two.address)}
	for _, c := range clients {
		c.send("STARTUP booking key-1")
		qt.Assert(t, c.send("QUERY w0 WRITE x 1")[0], qt.Equals, "COMPLETE sig-a")
	}
	p.failOver(clients[0])
	leader := p.group.Primary()
	for _, c := range clients {
		waitUntil(t, "a write is served", func() bool {
			answer := c.send("QUERY w1 WRITE x 2")[0]
			return answer == "COMPLETE sig-"+leader
		})
	}
	for _, commit := range p.group.Commits() {
		qt.Assert(t, commit.Replaced, qt.IsFalse)
	}
	waitUntil(t, "the old primary is stepped down", func() bool {
		return strings.Contains(one.logs.String()+two.logs.String(), `"event":"replaced_primary_stepped_down"`)
	})
}

// Guards against a primary without its log that is used (STALE), or kept because another instance uses it.
func TestPrimaryThatStartsAgainEmptyIsReplaced(t *testing.T) {
	const commits = 5
	for _, withNewInstance := range []bool{false, true} {
		t.Run(fmt.Sprintf("new_instance_%t", withNewInstance), func(t *testing.T) {
			p := newTestPlatform(t)
			c := dialLine(t, p.startInstance("one").address)
			c.send("STARTUP booking key-1")
			for i := range commits {
				qt.Assert(t, c.send(fmt.Sprintf("QUERY w%d WRITE x 1", i))[0], qt.Equals, "COMPLETE sig-a")
			}
			p.members["a"].RestartEmpty()
			if withNewInstance {
				p.startInstance("two")
			}
			waitUntil(t, "another primary serves reads", func() bool {
				answer := c.send("QUERY r READ x")
				return p.group.Primary() != "a" && strings.HasPrefix(answer[0], "DATAROW")
			})
			for _, run := range p.group.Executions() {
				if run.ID == "r" && run.Code == "" && !withNewInstance { // The new instance knows no earlier position.
					qt.Assert(t, run.Received >= commits, qt.IsTrue, qt.Commentf("%+v", run))
				}
			}
		})
	}
}

// Guards against a store that comes back from an older copy: an instance that
// takes back an older configuration accepts a withdrawn key again, one that takes
// the older record for the newest one uses a replaced primary, and an instance
// that is not registered any more has no share of the rates.
func TestStoreThatComesBackOlder(t *testing.T) {
	p := newTestPlatform(t)
	p.group.Unfenced = true
	p.store.Unfenced = true
	one, two := p.startInstance("one"), p.startInstance("two")
	c := dialLine(t, one.address)
	c.send("STARTUP booking key-2")
	c.send("QUERY w0 WRITE x 1")
	older := p.store.Copy()
	p.tenants[0] = tenantSpec("shops", "key-2")
	p.applyConfiguration()
	p.failOver(c)
	leader := p.group.Primary()
	p.store.Remove("instances", "two") // Registered after the copy was made, as the record was.
	p.store.SetAway(true)
	p.store.Restore(older)
	p.store.Remove("instances", "two")
	p.store.SetAway(false)

	for _, i := range []*testInstance{one, two} {
		waitUntil(t, "the new era is noticed", func() bool {
			return strings.Contains(i.logs.String(), `"event":"store_restored","era_before":0,"era":1`)
		})
		qt.Assert(t, i.ConfigVersion(), qt.Equals, uint64(2))
	}
	withdrawn := dialLine(t, one.address)
	qt.Assert(t, withdrawn.send("STARTUP booking key-1")[0], qt.Equals, "ERROR NOAUTH the key is not known")
	waitUntil(t, "the instance is registered again", func() bool {
		for _, o := range p.store.Objects("instances") {
			if o.Meta.Name == "two" {
				return true
			}
		}
		return false
	})
	waitUntil(t, "the record is written again", func() bool { return p.leadershipRecord().Term == 2 })
	waitUntil(t, "a write is served", func() bool { return c.send("QUERY w1 WRITE x 2")[0] == "COMPLETE sig-"+leader })
	for _, commit := range p.group.Commits() {
		qt.Assert(t, commit.Replaced, qt.IsFalse)
	}
}

// Guards against an instance that starts after the store came back from an older
// copy and believes the copy, which has a withdrawn key.
func TestStartAfterTheStoreCameBackOlder(t *testing.T) {
	p := newTestPlatform(t)
	p.startInstance("one")
	older := p.store.Copy()
	p.tenants[0] = tenantSpec("shops", "key-2")
	p.applyConfiguration()
	p.store.Restore(older)
	two := p.startInstance("two")
	qt.Assert(t, two.ConfigVersion(), qt.Equals, uint64(2))
	c := dialLine(t, two.address)
	qt.Assert(t, c.send("STARTUP booking key-1")[0], qt.Equals, "ERROR NOAUTH the key is not known")
}

// Guards against fencing tokens that fall: the store that comes back from an
// older copy issues its revisions again.
func TestTokensRiseAcrossEras(t *testing.T) {
	p := newTestPlatform(t)
	p.store.Unfenced = true
	one := p.startInstance("one")
	c := dialLine(t, one.address)
	c.send("STARTUP booking key-1")
	c.send("QUERY w0 WRITE x 1")
	older := p.store.Copy()
	p.failOver(c)
	p.store.Restore(older)
	waitUntil(t, "the record is written again", func() bool { return p.leadershipRecord().Term == 2 })
	second := p.group.Primary()
	p.members[second].PauseReplication(true)
	p.members[second].SetUnresponsive(true)
	waitUntil(t, "the primary is replaced again", func() bool {
		c.send("QUERY f READ x")
		return p.leadershipRecord().Term == 3
	})
	highest := uint64(0)
	for _, promotion := range p.store.Promotions() {
		qt.Assert(t, promotion.Token >= highest, qt.IsTrue)
		highest = promotion.Token
	}
	qt.Assert(t, highest>>40, qt.Equals, uint64(1), qt.Commentf("the form of the token that earlier releases expect"))
}

// Guards against the use or replacement of a primary whose record cannot be read, and a service that is lost with it for good.
func TestUnreadableRecordBlocksOnlyThePrimary(t *testing.T) {
	p := newTestPlatform(t)
	p.store.PutRaw("leases", "rentals", json.RawMessage(`{"term":0}`))
	one := p.startInstance("one")
	c := dialLine(t, one.address)
	c.send("STARTUP booking key-1")
	waitUntil(t, "a write is served", func() bool { return strings.HasPrefix(c.send("QUERY w0 WRITE x 1")[0], "COMPLETE") })
	p.store.PutRaw("leases", "rentals", json.RawMessage(`{"term":`+strings.Repeat("[", 9_000)+strings.Repeat("]", 9_000)+`}`))
	waitUntil(t, "no primary is used", func() bool { return strings.HasPrefix(c.send("QUERY w1 WRITE x 2")[0], "ERROR BUSY") })
	before := len(p.group.Commits())
	p.members[p.group.Primary()].FailWith("BUSY")
	p.writeConfiguration()
	waitUntil(t, "other lists are followed", func() bool { return one.ConfigVersion() == uint64(p.version) })
	qt.Assert(t, p.store.Promotions(), qt.HasLen, 0)
	qt.Assert(t, p.group.Commits(), qt.HasLen, before)
	p.members[p.group.Primary()].FailWith("")
	p.store.PutRaw("leases", "rentals", json.RawMessage(`{"term":0}`))
	waitUntil(t, "a write is served", func() bool { return strings.HasPrefix(c.send("QUERY w2 WRITE x 3")[0], "COMPLETE") })
}
