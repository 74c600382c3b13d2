package ratelimiter

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/identifier"
)

// returns plays callers that all arrive at once, six times as many as the
// workspace may run in a second, and return at another instance after the time
// that their refusal states. It returns the time of each return.
func returns(t *testing.T, size, dataCentres int, limit Limit) (returnTimes []time.Duration, r report) {
	t.Helper()
	r = simulate(t, 1, size, dataCentres, limit, func(s *simulation) {
		choose := roaming(s)
		s.run(5*time.Second, limit.Rate*0.625, choose)
		s.reset()
		start := time.Now()
		for range int(6 * limit.Rate) {
			instances := []int{choose(), choose(), choose(), choose(), choose(), choose(), choose(), choose()}
			s.attempts.Go(func() {
				for _, i := range instances {
					refusal := s.attempt(s.instances[i])
					if refusal == nil {
						return
					}
					time.Sleep(refusal.RetryAfter)
					s.mu.Lock()
					returnTimes = append(returnTimes, time.Since(start))
					s.mu.Unlock()
				}
			})
		}
		s.attempts.Wait()
	})
	return returnTimes, r
}

// Guards against callers that return all at the same moment, which refuses most
// of them again, and against times that bear no relation to the rate.
func TestRefusedCallersReturnSpread(t *testing.T) {
	for _, z := range everySize {
		for _, rate := range []float64{3, 10, 50} {
			t.Run(fmt.Sprint(z.size, "/", rate), func(t *testing.T) {
				times, r := returns(t, z.size, z.dataCentres, Limit{rate, rate})
				slices.Sort(times)
				most, first := 0, 0
				for i, at := range times {
					for at-times[first] > 100*time.Millisecond {
						first++
					}
					most = max(most, i-first+1)
				}
				last := times[len(times)-1]
				t.Logf("%d returns, at most %d in 100 ms, the last after %v: %v", len(times), most, last.Round(time.Millisecond), r)
				callers := int(6 * rate)
				qt.Check(t, most <= min(callers*2/5, callers/5+8), qt.IsTrue)
				qt.Check(t, len(times) <= 4*callers, qt.IsTrue)
				qt.Check(t, last < 8*time.Second, qt.IsTrue) // 6 s at the rate, less the burst.
			})
		}
	}
}

// Guards against one time for all callers that an instance refuses, and against
// one of more than a few seconds.
func TestRetryTimesAreOneTokenApart(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &Limiter{Now: func() time.Time { return now }}
	l.Set(map[identifier.WorkspaceName]Share{shop: {Limit: Limit{10, 10}, Owners: []identifier.InstanceID{"self"}}}, "self", []Peer{{ID: "self"}})
	for l.Take(shop) {
	}
	times := make([]time.Duration, 200)
	for i := range times {
		times[i] = l.Refuse(shop).RetryAfter
	}
	qt.Check(t, times[0] <= 100*time.Millisecond, qt.IsTrue)
	for i := range times[1:] {
		qt.Check(t, times[i+1] > times[i], qt.IsTrue, qt.Commentf("%d", i))
		qt.Check(t, times[i+1]-times[i] <= 100*time.Millisecond, qt.IsTrue, qt.Commentf("%d", i))
	}
	qt.Check(t, times[len(times)-1] <= maxRetryAfter, qt.IsTrue)
}

// Guards against "over the rate" for a refusal of another cause.
func TestRefusalsNameTheirCause(t *testing.T) {
	owners := []identifier.InstanceID{"a", "b"}
	answered := func(left float64) *Grant {
		return &Grant{Left: map[identifier.WorkspaceName]float64{shop: left}}
	}
	starting := answered(0)
	starting.Starting = []identifier.WorkspaceName{shop}
	for _, test := range []struct {
		name string
		a, b *Grant // The answers of the owners, nil if one does not answer.
		want error
	}{
		{"all owners have spent their tokens", answered(0), answered(0), ErrOverRate},
		{"an owner has tokens", answered(0), answered(3), ErrTokensElsewhere},
		{"an owner does not answer", answered(0), nil, ErrTokensElsewhere},
		{"no owner answers", nil, nil, ErrNoOwner},
		{"an owner does not know the limit", answered(0), &Grant{}, ErrOwnerStarting},
		{"an owner has just started", answered(0), starting, ErrOwnerStarting},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := &Limiter{Now: func() time.Time { return now }}
			l.Set(map[identifier.WorkspaceName]Share{shop: {Limit: Limit{1, 10}, Owners: owners}}, "self", []Peer{{ID: "self"}, {ID: "a"}, {ID: "b"}})
			qt.Assert(t, l.Take(shop), qt.IsFalse)
			l.FinishRequest(shop, "a", test.a)
			l.FinishRequest(shop, "b", test.b)
			refusal := l.Refuse(shop)
			qt.Check(t, refusal, qt.ErrorIs, test.want)
			qt.Check(t, refusal.Error(), qt.Matches, test.want.Error()+`; retry after [1-9]\d*ms`)
		})
	}
	unknown := (&Limiter{}).Refuse("unknown")
	qt.Check(t, unknown, qt.ErrorIs, ErrOwnerStarting)
}

// Guards against an owner that attributes missing tokens to the rate although it
// was registered just now or its process has just started, and against one that
// attributes more refusals to the start than it lacked tokens.
func TestOwnersReportTheirStart(t *testing.T) {
	shares := map[identifier.WorkspaceName]Share{shop: {Limit: Limit{10, 10}, Owners: []identifier.InstanceID{"self"}}}
	for _, registered := range []bool{false, true} {
		t.Run(fmt.Sprint("registered=", registered), func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := &Limiter{Now: func() time.Time { return now }}
			if registered {
				l.MarkRegistered()
			}
			l.Set(shares, "self", []Peer{{ID: "self"}, {ID: "a"}})
			starting := 0
			for range 100 {
				g := l.Give(TokenRequest{Wants: map[identifier.WorkspaceName]float64{shop: 1}})
				if g.Given[shop] > 0 {
					continue
				}
				qt.Check(t, g.RetryAfter[shop] > 0, qt.IsTrue)
				starting += len(g.Starting)
				if registered {
					qt.Check(t, g.Starting, qt.DeepEquals, []identifier.WorkspaceName{shop})
				}
			}
			if !registered {
				qt.Check(t, starting, qt.Equals, int(7.5*deniedOwners)) // 10 less 2.5 at the start, each denied by some owners.
			}
			now = now.Add(JoinWait + maxStartTime)
			for l.Take(shop) {
			}
			g := l.Give(TokenRequest{Wants: map[identifier.WorkspaceName]float64{shop: 1}})
			qt.Check(t, g.Starting, qt.HasLen, 0)
		})
	}
}
