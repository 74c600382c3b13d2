package starter_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/platform/imitator"
)

// Guards against an instance that stops serving, a catalog that is not followed, a primary that is not replaced and a fencing
// token that falls, because the store numbers its changes or eras otherwise than from 1 by one: from the start, from a
// moment at which all run, and after it came back from a copy with other numbers.
func TestAnyNumberingOfTheStoreIsServed(t *testing.T) {
	random := rand.New(rand.NewPCG(72, 15)) //nolint:gosec // Seeded, so that each run has the same steps.
	steps := func() uint64 { return 1 + random.Uint64N(1<<30) }
	for name, n := range map[string]struct {
		first, later imitator.Numbering // Later is set while all run, unless it is zero.
	}{
		"from_1_by_one":                   {},
		"unix_time_in_milliseconds":       {first: imitator.Numbering{Revision: 1_796_000_000_000}},
		"passes_2^40":                     {later: imitator.Numbering{Revision: 1<<40 - 2}},
		"64_bits_and_irregular_steps":     {first: imitator.Numbering{Revision: 1 << 63, Step: steps}},
		"passes_2^40_in_irregular_steps":  {later: imitator.Numbering{Revision: 1<<40 - 1, Step: steps}},
		"passes_the_24_bits_of_the_eras":  {first: imitator.Numbering{Era: 1<<24 - 1}},
		"unix_time_in_eras_and_revisions": {first: imitator.Numbering{Revision: 1_796_000_000_000_000_000, Era: 1_796_000_000}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPlatform(t)
			p.store.SetNumbering(n.first)
			p.registerServers()
			p.writeConfiguration()
			one, two := p.startInstance("one"), p.startInstance("two")
			c := dialLine(t, one.address)
			c.send("STARTUP booking key-1")
			older := p.store.Copy()
			if n.later.Revision > 0 {
				p.store.SetNumbering(n.later)
			}
			p.awaitConfiguration()
			qt.Assert(t, c.send("QUERY w0 WRITE x 1")[0], qt.Equals, "COMPLETE sig-a")
			p.replacePrimary(c, 1)
			p.store.Restore(older)
			for _, i := range []*testInstance{one, two} {
				waitUntil(t, "the new era is noticed", func() bool { return strings.Contains(i.logs.String(), `"event":"store_restored"`) })
			}
			p.awaitConfiguration()
			p.replacePrimary(c, 2)
			p.startInstance("three")
			p.replacePrimary(c, 3)

			highest := uint64(0)
			for _, promotion := range p.store.Promotions() {
				qt.Assert(t, promotion.Token > highest, qt.IsTrue, qt.Commentf("%+v after %d", promotion, highest))
				highest = promotion.Token
			}
		})
	}
}

// Guards against a service without a primary for good, because no instance knows the record under which a higher fencing
// token was used: operators have removed it, or it was lost with an older copy of the store.
func TestTokenThatIsTooLowIsRaised(t *testing.T) {
	for _, token := range []uint64{9, 1_000, 1 << 45} {
		for _, revision := range []uint64{0, 1_796_000_000_000} {
			t.Run(fmt.Sprintf("token_%d_revisions_from_%d", token, revision), func(t *testing.T) {
				t.Parallel()
				p := newTestPlatform(t)
				p.store.SetNumbering(imitator.Numbering{Revision: revision})
				p.registerServers()
				p.writeConfiguration()
				p.store.RequireToken("rentals", token)
				one := p.startInstance("one")
				p.startInstance("two")
				c := dialLine(t, one.address)
				c.send("STARTUP booking key-1")
				waitUntil(t, "a write is served", func() bool { return strings.HasPrefix(c.send("QUERY w0 WRITE x 1")[0], "COMPLETE") })
				p.replacePrimary(c, 1)
			})
		}
	}
}

// awaitConfiguration writes a configuration and waits until each instance has it.
func (p *testPlatform) awaitConfiguration() {
	p.writeConfiguration()
	for _, i := range p.instances {
		waitUntil(p.t, "the configuration is known", func() bool { return i.ConfigVersion() == uint64(p.version) })
	}
}

// replacePrimary makes the primary unresponsive until the next one serves a write, and the store
// has the record of its term.
func (p *testPlatform) replacePrimary(c *lineClient, replacements int) {
	p.t.Helper()
	previous := p.group.Primary()
	p.members[previous].SetUnresponsive(true)
	waitUntil(p.t, "another primary serves", func() bool {
		answer := c.send("QUERY w WRITE x 2")[0]
		l := p.leadershipRecord()
		return strings.HasPrefix(answer, "COMPLETE") && !l.IsReplacing() && int(l.Term) == 1+replacements
	})
	qt.Assert(p.t, p.group.Primary(), qt.Not(qt.Equals), previous)
	p.members[previous].SetUnresponsive(false)
}
