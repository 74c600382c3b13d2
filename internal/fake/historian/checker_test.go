package historian_test

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/fake/historian"
	"oleanderpulley/internal/state/identifier"
)

// TestMain fixes the seed of rapid, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	m.Run()
}

const service = identifier.ServiceName("rentas-core-1")

func write(operation string, answered time.Duration, o historian.Outcome, term, offset uint64) historian.Write {
	return historian.Write{
		Operation: operation, Session: "s", Service: service, Workspace: "w", Key: "k",
		Sent: answered - 1, Answered: answered, Outcome: o,
		Position: identifier.Position{Term: identifier.Term(term), Offset: identifier.LogOffset(offset)},
	}
}

func read(sent time.Duration, values ...string) historian.Read {
	return historian.Read{
		Operation: "r", Session: "s", Key: "k", Sent: sent, Answered: sent + 1,
		Outcome: historian.Acknowledged, Values: values,
	}
}

func execution(operation string, id identifier.RequestID, term, offset uint64) historian.Execution {
	return historian.Execution{
		Operation: operation, Service: service, Server: "b", Workspace: "w", RequestID: id, Committed: true,
		Position: identifier.Position{Term: identifier.Term(term), Offset: identifier.LogOffset(offset)},
	}
}

func withRequestID(w historian.Write) historian.Write {
	w.RequestID = "r"
	return w
}

func asDurable(w historian.Write) historian.Write {
	w.Durable = true
	return w
}

func admission(second int) historian.Admission {
	return historian.Admission{At: time.Duration(second) * time.Second, Workspace: "w", Cost: 1}
}

func receipt(survived bool, offset uint64) historian.Receipt {
	return historian.Receipt{
		Service: service, Server: "b", Survived: survived,
		Position: identifier.Position{Term: 1, Offset: identifier.LogOffset(offset)},
	}
}

// Guards against a rule that misses a violation, and against a rule that rejects
// an allowed history: each history with a violation has a similar allowed one
// next to it.
func TestRules(t *testing.T) {
	final := historian.FinalState{
		Service: service, Received: 500, History: []backendserver.TermStart{{Term: 1}, {Term: 2, Offset: 100}},
		Values: map[string][]string{"k": {"kept"}},
	}
	limit := historian.Limit{Workspace: "w", Rate: 1, Burst: 2}
	acknowledged, unknown, refused := historian.Acknowledged, historian.Unknown, historian.Refused
	for _, tc := range []struct {
		name    string
		rule    string // violated rule; empty for an allowed history
		records []any
	}{
		{"own write missing", historian.RuleReadYourWrites, []any{write("a", 10, acknowledged, 1, 5), read(10)}},
		{"own write seen", "", []any{write("a", 10, acknowledged, 1, 5), read(10, "x", "a")}},
		{"write answered after the read was sent", "", []any{write("a", 10, acknowledged, 1, 5), read(9)}},
		{"unknown write missing", "", []any{write("a", 10, unknown, 0, 0), read(11)}},

		{"ran twice", historian.RuleAtMostOnce, []any{final, execution("a", "r", 1, 50), execution("b", "r", 2, 200)}},
		{"two statements of one run", "", []any{final, execution("a", "r", 1, 50), execution("a", "r", 1, 50)}},
		{"first run discarded", "", []any{final, execution("a", "r", 1, 150), execution("b", "r", 2, 200)}},
		{"acknowledged twice", historian.RuleAtMostOnce, []any{withRequestID(write("a", 1, acknowledged, 0, 0)), withRequestID(write("b", 2, acknowledged, 0, 0))}},
		{"repeated without id", "", []any{final, execution("a", "", 1, 50), execution("a", "", 2, 200)}},

		{"received write lost", historian.RuleNoLostWrites, []any{final, write("a", 1, acknowledged, 1, 50), receipt(true, 50)}},
		{"write not received by a survivor", "", []any{final, write("a", 1, acknowledged, 1, 50), receipt(false, 50), receipt(true, 49)}},
		{"received write kept", "", []any{final, write("kept", 1, acknowledged, 1, 50), receipt(true, 50)}},

		{"durable write lost", historian.RuleNoLostWrites, []any{final, asDurable(write("a", 1, acknowledged, 0, 0))}},
		{"write lost, position from the server's record", historian.RuleNoLostWrites, []any{final, write("a", 1, acknowledged, 0, 0), execution("a", "", 1, 50), receipt(true, 50)}},

		{"old term acknowledged", historian.RuleNoStaleTerm, []any{write("a", 11, acknowledged, 1, 5), historian.TermOpened{Service: service, Term: 2, At: 10}}},
		{"acknowledged before the newer term", "", []any{write("a", 10, acknowledged, 1, 5), historian.TermOpened{Service: service, Term: 2, At: 10}}},
		{"term of another service", "", []any{write("a", 11, acknowledged, 1, 5), historian.TermOpened{Service: "other", Term: 2, At: 10}}},

		{"burst after an idle period", historian.RuleRate, []any{limit, admission(0), admission(3), admission(3), admission(3)}},
		{"burst refilled", "", []any{limit, admission(0), admission(0), admission(1), admission(2)}},

		{"answer to another request", historian.RuleAnswer, []any{historian.Answer{Operation: "a", Echo: "b"}}},
		{"partial answer", historian.RuleAnswer, []any{historian.Answer{Operation: "a", Echo: "a", Rows: 1, WantRows: 2}}},
		{"whole answer", "", []any{historian.Answer{Operation: "a", Echo: "a", Rows: 2, WantRows: 2}}},

		{"refused but ran", historian.RuleNotRun, []any{write("a", 1, refused, 0, 0), execution("a", "", 1, 5)}},
		{"refused but seen", historian.RuleNotRun, []any{write("a", 1, refused, 0, 0), read(2, "a")}},
		{"unknown and ran", "", []any{write("a", 1, unknown, 0, 0), execution("a", "", 1, 5)}},

		{"withdrawn key used", historian.RuleWithdrawnKey, []any{historian.KeyWithdrawal{Key: "k", At: 5}, historian.KeyUse{Key: "k", Sent: 9}}},
		{"withdrawn key used within the grace period", "", []any{historian.KeyWithdrawal{Key: "k", At: 5}, historian.KeyUse{Key: "k", Sent: 8}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := &historian.History{KeyGrace: 3}
			for _, r := range tc.records {
				h.Add(r)
			}
			violations := h.Check()
			if tc.rule == "" {
				qt.Assert(t, violations, qt.HasLen, 0)
				return
			}
			qt.Assert(t, violations, qt.HasLen, 1)
			qt.Assert(t, violations[0].Rule, qt.Equals, tc.rule)
		})
	}
}

// Guards against a single pass over the admissions that misses a window above
// the rate, or reports one that is within it. The reference is a check of every
// pair of admissions.
func TestRateOverAllWindows(t *testing.T) {
	// rapid's integer ranges prefer small numbers, with which late bursts would
	// not occur; permutations do not.
	quarters := rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
	rapid.Check(t, func(t *rapid.T) {
		l := historian.Limit{
			Workspace: "w", Rate: float64(rapid.IntRange(0, 8).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 8).Draw(t, "burst")),
		}
		h := &historian.History{Limits: []historian.Limit{l}}
		for _, at := range quarters.Draw(t, "at")[:10] {
			h.Add(historian.Admission{
				At: time.Duration(at/rapid.IntRange(1, 2).Draw(t, "divisor")) * time.Second / 4, Workspace: "w",
				Cost: float64(rapid.IntRange(1, 3).Draw(t, "cost")),
			})
			h.Add(historian.Admission{Workspace: "other", Cost: 100})
		}
		exceeded := false
		for _, from := range h.Admissions {
			for _, to := range h.Admissions {
				sum := 0.0
				for _, a := range h.Admissions {
					if a.Workspace == "w" && a.At >= from.At && a.At <= to.At {
						sum += a.Cost
					}
				}
				exceeded = exceeded || to.At >= from.At && sum > l.Rate*(to.At-from.At).Seconds()+l.Burst
			}
		}
		violations := h.Check()
		if (len(violations) > 0) != exceeded {
			t.Fatalf("rate exceeded: %v, violations: %v", exceeded, violations)
		}
	})
}

// Guards against a conversion of statement records that loses a field which the
// rules check.
func TestAddRecords(t *testing.T) {
	h := &historian.History{}
	records := []backendserver.Record{
		{Server: "b", Workspace: "w", SQL: "a", Committed: true, Term: 1, End: 50}, {SQL: "BEGIN"},
	}
	h.AddRecords(service, records, func(r backendserver.Record) (string, identifier.RequestID) {
		if r.SQL == "a" {
			return "a", "r"
		}
		return "", ""
	})
	qt.Assert(t, h.Executions, qt.DeepEquals, []historian.Execution{execution("a", "r", 1, 50)})
}
