package measurer

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/limiter"
)

// Guards against a check that accepts a stale read, or that reports a violation
// for a write whose outcome is unknown.
func TestExpectedRow(t *testing.T) {
	for _, test := range []struct {
		name   string
		before expectedRow
		value  int64
		want   bool
		after  int64 // Smallest value accepted next.
	}{
		{"own write", expectedRow{acknowledged: 3, attempted: 3}, 3, true, 3},
		{"older than the own write", expectedRow{acknowledged: 3, attempted: 3}, 2, false, 3},
		{"unknown outcome, not stored", expectedRow{acknowledged: 3, attempted: 4}, 3, true, 3},
		{"unknown outcome, stored", expectedRow{acknowledged: 3, attempted: 4}, 4, true, 4},
		{"never attempted", expectedRow{acknowledged: 3, attempted: 4}, 5, false, 4},
		{"loss announced", expectedRow{acknowledged: 3, attempted: 3, acceptNextRead: true}, 1, true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := test.before
			qt.Assert(t, r.checkRead(test.value), qt.Equals, test.want)
			qt.Assert(t, r.acknowledged, qt.Equals, test.after)
			qt.Assert(t, r.acceptNextRead, qt.IsFalse)
		})
	}
}

// Guards against a stale read that is counted as a write lost in a failover,
// although the session's position was known or no primary was killed.
func TestLostWriteWithoutPosition(t *testing.T) {
	for _, test := range []struct {
		name                    string
		withoutPosition, killed bool
		value                   int64
		want                    bool
	}{
		{"position presented", false, true, 2, true},
		{"no primary lost", true, false, 2, true},
		{"lost and not presented", true, true, 2, false},
		{"never attempted", true, true, 9, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &session{load: &loadGenerator{}, reconnectedWithoutPosition: test.withoutPosition, row: expectedRow{acknowledged: 3, attempted: 3}}
			if test.killed {
				s.load.markPrimaryKilled(s.workspace.service)
			}
			qt.Assert(t, s.violatesGuarantee(test.value), qt.Equals, test.want)
			qt.Assert(t, s.violatesGuarantee(test.value), qt.Equals, test.want)
		})
	}
}

// Guards against a write gap that omits the time before the first write or after
// the last one.
func TestLongestWriteGap(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds ...float64) []time.Time {
		var list []time.Time
		for _, s := range seconds {
			list = append(list, start.Add(time.Duration(s*float64(time.Second))))
		}
		return list
	}
	for _, test := range []struct {
		name    string
		writes  []time.Time
		want    time.Duration
		resumed bool
	}{
		{"write after the kill", at(-0.5, -0.25, 3, 3.5), 3250 * time.Millisecond, true},
		{"out of order", at(3, -0.25, 3.5), 3250 * time.Millisecond, true},
		{"answer in flight at the kill", at(-0.5, 0.25, 4.25), 4 * time.Second, true},
		{"none after the kill", at(-0.5), 5500 * time.Millisecond, false},
		{"stopped again", at(-0.5, 1), 4 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, resumed := longestWriteGap(test.writes, start, start.Add(5*time.Second))
			qt.Assert(t, d, qt.Equals, test.want)
			qt.Assert(t, resumed, qt.Equals, test.resumed)
		})
	}
}

// Guards against results that include a workspace over its rate, count a late
// response as goodput, or a refusal of a flooding workspace as wrongful.
func TestSummary(t *testing.T) {
	start := time.Unix(1000, 0)
	limits := map[identifier.WorkspaceName]limiter.Limit{"calm": {Rate: 10, Burst: 10}, "flood": {Rate: 10, Burst: 10}}
	phaseTally := &tally{}
	add := func(w identifier.WorkspaceName, at, took time.Duration, state string, violation bool) {
		phaseTally.add(outcome{w, start.Add(at), start.Add(at + took), state, violation})
	}
	for i := range 20 {
		add("calm", time.Duration(i)*100*time.Millisecond, 20*time.Millisecond, "", false)
		add("flood", time.Duration(i)*time.Millisecond, 20*time.Millisecond, overRateState, false)
	}
	add("calm", 2100*time.Millisecond, 2*time.Second, "", true)
	add("calm", 2200*time.Millisecond, time.Millisecond, overRateState, false)
	byWorkspace, violations := phaseTally.summary(limits)
	qt.Assert(t, violations, qt.Equals, 1)
	calm := byWorkspace["calm"]
	qt.Assert(t, *calm, qt.DeepEquals, workspaceResult{
		Offered: 22, Good: 20, Refused: 1, WithinRate: true, P99: 2 * time.Second,
		Failures: map[string]int{overRateState: 1}, LastRefused: start.Add(2201 * time.Millisecond),
	})
	qt.Assert(t, byWorkspace["flood"].WithinRate, qt.IsFalse)

	alone := map[identifier.WorkspaceName]*workspaceResult{"calm": {P99: 500 * time.Millisecond}}
	r := newResult(byWorkspace, alone)
	qt.Assert(t, r.offered, qt.Equals, 22)
	qt.Assert(t, r.wrongfulRefusals, qt.Equals, 1)
	qt.Assert(t, r.worstWorkspace, qt.Equals, identifier.WorkspaceName("calm"))
	qt.Assert(t, r.worstGoodput, qt.Equals, 20.0/22)
	qt.Assert(t, r.worstP99, qt.Equals, 4.0)
}

// Guards against a delayed link that is too fast, loses data or does not forward
// the end of a connection.
func TestDialDelayed(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() {
		c, err := listener.Accept()
		if err == nil {
			_, _ = io.CopyN(c, c, 5)
			_ = c.Close()
		}
	}()
	const delay = 5 * time.Millisecond
	c, err := dialDelayed(ctx, "tcp", listener.Addr().String(), delay)
	qt.Assert(t, err, qt.IsNil)
	start := time.Now()
	_, err = c.Write([]byte("hello"))
	qt.Assert(t, err, qt.IsNil)
	got, err := io.ReadAll(c)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, "hello")
	qt.Assert(t, time.Since(start) >= 2*delay, qt.IsTrue)
	qt.Assert(t, c.Close(), qt.IsNil)
	qt.Assert(t, listener.Close(), qt.IsNil)
	_, err = dialDelayed(ctx, "tcp", listener.Addr().String(), delay)
	qt.Assert(t, err, qt.IsNotNil)
}
