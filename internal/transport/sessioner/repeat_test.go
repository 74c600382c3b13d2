package sessioner

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/fencer"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/lender"
	"oleanderpulley/internal/transport/reporter"
)

// repeater is a backend server that leads. Its commits advance by 10 with each statement.
// A test may make it send answers again.
type repeater struct {
	end    identifier.Position
	dialed int
	given  []requester.Result // On the last connection, without repeats.
	// Before returns the answers that arrive between the statement and its own answer.
	before func(k requester.Kind) []requester.Result
	// Answer changes the statement's own answer.
	answer func(k requester.Kind, r requester.Result) requester.Result
	ran    []requester.Kind
	// Receive fails in place of the next answer.
	receive func() error
}

func (p *repeater) dial(time.Time, cataloger.BackendServer, identifier.WorkspaceName) (lender.Link, error) {
	p.dialed++
	p.given = nil
	var pending []requester.Result
	var answers fakeAnswers
	return lender.Link{
		Send: func(_ time.Time, statements ...requester.Statement) error {
			for _, st := range statements {
				p.ran = append(p.ran, st.Kind)
				if p.before != nil {
					pending = append(pending, p.before(st.Kind)...)
				}
				p.end.Offset += 10
				r := answers.answer(st.Kind, p.end)
				if p.answer != nil {
					r = p.answer(st.Kind, r)
				}
				p.given = append(p.given, r)
				pending = append(pending, r)
			}
			return nil
		},
		Receive: func(time.Time) (requester.Result, error) {
			if p.receive != nil {
				return requester.Result{}, p.receive()
			}
			if len(pending) == 0 {
				return requester.Result{}, os.ErrDeadlineExceeded
			}
			r := pending[0]
			pending = pending[1:]
			return r, nil
		},
		Open:   func() bool { return len(pending) == 0 },
		Unread: func() bool { return len(pending) > 0 },
		Close:  func() {},
	}, nil
}

// newRepeater returns a server with the backend server, from which a first series of
// BEGIN and ROLLBACK was answered.
func newRepeater(t *testing.T) (*Server, *repeater) {
	s, _ := newTestServer()
	p := &repeater{end: identifier.Position{Term: 1}}
	s.Lender.Dial = p.dial
	qt.Assert(t, s.ConfirmLeader(s.Holder.Catalog().Servers["rentals"][0]), qt.IsNil)
	sample, _ := s.Sampler("rentals").Latest()
	qt.Assert(t, sample.Position, qt.Equals, p.given[0].Position)
	return s, p
}

// repeatFirst makes the server send the first answer of the connection again before
// that to the next statement of the kind.
func (p *repeater) repeatFirst(at requester.Kind) {
	first := p.given[:1]
	p.before = func(k requester.Kind) []requester.Result {
		if k != at {
			return nil
		}
		at = requester.Unknown
		return first
	}
}

// Guards against an old position that counts as a new one, because the answer to an
// earlier BEGIN is received again (STALE), and against a primary that is taken for one
// that lost its log because of it.
func TestRepeatedBeginAnswerIsNoSample(t *testing.T) {
	requests := map[string]func(s *Server) requester.Code{
		"confirm": func(s *Server) requester.Code {
			if s.ConfirmLeader(s.Holder.Catalog().Servers["rentals"][0]) != nil {
				return requester.OtherError
			}
			return requester.OK
		},
		"read": func(s *Server) requester.Code {
			return s.Execute("peer", primaryRequest(requester.Read, "READ x")).Result.Code
		},
		"transaction": func(s *Server) requester.Code { return s.Execute("peer", openingForward("shops", 1)).Result.Code },
	}
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			s, p := newRepeater(t)
			old := p.given[0].Position
			clock := setClock(s)
			clock.advance(time.Second)
			s.Holder.SetProof(clock.now())
			since := s.Holder.Clock()
			check := func() {
				sample, _ := s.Sampler("rentals").Latest()
				qt.Check(t, sample.RequestedAt >= since && sample.Position == old, qt.IsFalse)
			}
			p.repeatFirst(requester.Begin)
			repeat := p.before
			p.before = func(k requester.Kind) []requester.Result {
				check()
				return repeat(k)
			}
			want := requester.OK
			if name == "transaction" {
				want = requester.Aborted // The answer to its BEGIN is unread when the write is to be sent.
			}
			qt.Assert(t, request(s), qt.Equals, want)
			check()
		})
	}
}

// Guards against a primary that is taken for one that lost its log, because the answer to
// an earlier BEGIN is received again.
func TestRepeatedBeginAnswerShowsNoLostLog(t *testing.T) {
	s, p := newRepeater(t)
	s.Registry = &reporter.Registry{}
	read := func() requester.Code {
		return s.Execute("peer", primaryRequest(requester.Read, "READ x")).Result.Code
	}
	qt.Assert(t, read(), qt.Equals, requester.OK)
	for range 3 {
		p.repeatFirst(requester.Begin)
		qt.Assert(t, read(), qt.Equals, requester.OK)
		p.repeatFirst(requester.Begin)
		qt.Assert(t, s.ConfirmLeader(s.Holder.Catalog().Servers["rentals"][0]), qt.IsNil)
	}
	qt.Assert(t, s.Registry.CounterValue(reporter.Series{Name: "primary_logs_lost", Service: "rentals"}), qt.Equals, int64(0))
}

// Guards against a read of a server that has lost leadership (STALE): a read on the
// primary counts only if it ran in its transaction.
func TestReadOutsideItsTransactionIsNotReturned(t *testing.T) {
	s, p := newRepeater(t)
	p.answer = func(k requester.Kind, r requester.Result) requester.Result {
		if k == requester.Read {
			r.State = requester.Idle
		}
		return r
	}
	r := s.Execute("peer", primaryRequest(requester.Read, "READ x"))
	qt.Assert(t, r.Result.Code, qt.Equals, requester.OutcomeUnknown)
}

// Guards against a write that runs twice or has run in spite of a promise (TWICE,
// REFUSED): the refusal of a read was received again and taken for its answer.
func TestRepeatedRefusalIsNoPromiseForAWrite(t *testing.T) {
	writes := map[string]func(s *Server) requester.Code{
		"alone": func(s *Server) requester.Code {
			return s.Execute("peer", primaryRequest(requester.Write, "WRITE x 1")).Result.Code
		},
		"in a transaction": func(s *Server) requester.Code { return s.Execute("peer", openingForward("shops", 1)).Result.Code },
	}
	for name, write := range writes {
		t.Run(name, func(t *testing.T) {
			s, p := newRepeater(t)
			refusal := requester.Result{Code: requester.Overloaded, State: requester.Idle}
			p.answer = func(k requester.Kind, r requester.Result) requester.Result {
				if k != requester.Read {
					return r
				}
				p.answer = nil
				return refusal
			}
			bounded := primaryRequest(requester.Read, "READ x")
			bounded.Route.Consistency, bounded.Route.MaxStaleness = cataloger.BoundedStaleness, time.Second
			s.Execute("peer", bounded)
			refused := p.dialed
			p.before = func(k requester.Kind) []requester.Result {
				if k != requester.Write || p.dialed != refused {
					return nil
				}
				return []requester.Result{refusal}
			}
			qt.Assert(t, write(s), qt.Equals, requester.OK)
			isWrite := func(k requester.Kind) bool { return k == requester.Write }
			qt.Assert(t, slices.IndexFunc(p.ran, isWrite), qt.Equals, len(p.ran)-1) // It ran once.
		})
	}
}

// Guards against a transaction that stays open after an error in it: the answer to its
// ROLLBACK may be that to an earlier one.
func TestConnectionIsClosedAfterAnErrorInATransaction(t *testing.T) {
	s, p := newRepeater(t)
	p.answer = func(k requester.Kind, r requester.Result) requester.Result {
		if k == requester.Write {
			return requester.Result{Code: requester.Overloaded, State: requester.Failed, Position: r.Position}
		}
		return r
	}
	p.ran = nil
	qt.Assert(t, s.Execute("peer", openingForward("shops", 1)).Result.Code, qt.Equals, requester.Overloaded)
	qt.Assert(t, p.ran, qt.DeepEquals, []requester.Kind{requester.Begin, requester.Write})
	lent, _ := s.Lender.Borrowed("a")
	qt.Assert(t, lent, qt.Equals, 0)
}

// Guards against an old log position that counts as a new one, because the answer to an
// earlier STATUS or STEPDOWN is received again: nothing tells one from another.
func TestStatusIsNotThatOfAnEarlierQuery(t *testing.T) {
	s, p := newRepeater(t)
	s.ParseServerStatus = func(row string) (requester.ServerStatus, error) {
		received, err := strconv.ParseUint(row, 10, 64)
		return requester.ServerStatus{Received: identifier.Position{Term: 1, Offset: identifier.LogOffset(received)}}, err
	}
	p.answer = func(k requester.Kind, r requester.Result) requester.Result {
		if k == requester.Status || k == requester.StepDown {
			r.Rows = []string{strconv.FormatUint(uint64(r.Position.Offset), 10)}
		}
		return r
	}
	server := s.Holder.Catalog().Servers["rentals"][0]
	queries := []func() (requester.ServerStatus, error){
		func() (requester.ServerStatus, error) { return s.Status(server) },
		func() (requester.ServerStatus, error) { return s.StepDown(server, 2) },
	}
	for range 2 {
		for _, query := range queries {
			earlier, dialed := slices.Clone(p.given), p.dialed
			p.before = func(requester.Kind) []requester.Result {
				if p.dialed != dialed || len(earlier) == 0 || earlier[len(earlier)-1].Rows == nil {
					return nil
				}
				return earlier[len(earlier)-1:]
			}
			m, err := query()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, m.Received, qt.Equals, p.end)
		}
	}
}

// Guards against a primary that gets no statements for 200 ms and more because an answer
// could not be read.
func TestServerIsNotEjectedForAMalformedAnswer(t *testing.T) {
	s, p := newRepeater(t)
	s.Lender.Dial = func(deadline time.Time, b cataloger.BackendServer, w identifier.WorkspaceName) (lender.Link, error) {
		link, err := p.dial(deadline, b, w)
		link.Receive = func(time.Time) (requester.Result, error) {
			s.Lender.Dial = p.dial
			return requester.Result{}, lender.ErrMalformedAnswer
		}
		return link, err
	}
	write := primaryRequest(requester.Write, "WRITE x 1")
	qt.Assert(t, s.Execute("peer", write).Result.Code, qt.Equals, requester.OutcomeUnknown)
	qt.Assert(t, s.Execute("peer", write).Result.Code, qt.Equals, requester.OK)
}

// Guards against a primary that gets no statements for 200 ms and more because an answer
// did not fit its statement.
func TestServerIsNotEjectedForAnAnswerOutOfStep(t *testing.T) {
	s, p := newRepeater(t)
	p.answer = func(k requester.Kind, r requester.Result) requester.Result {
		if k == requester.Write {
			r.Signature = ""
		}
		return r
	}
	write := primaryRequest(requester.Write, "WRITE x 1")
	qt.Assert(t, s.Execute("peer", write).Result.Code, qt.Equals, requester.OutcomeUnknown)
	p.answer = nil
	qt.Assert(t, s.Execute("peer", write).Result.Code, qt.Equals, requester.OK)
}

// Guards against a primary that gets no statements for 200 ms and more because an answer
// was joined to a part of an earlier one.
func TestServerIsNotEjectedForAnAnswerThatCannotBeRead(t *testing.T) {
	s, p := newRepeater(t)
	p.receive = func() error {
		p.receive = nil
		return errors.Wrap(lender.ErrMalformedAnswer, "message after the outcome")
	}
	write := primaryRequest(requester.Write, "WRITE x 1")
	qt.Assert(t, s.Execute("peer", write).Result.Code, qt.Equals, requester.OutcomeUnknown)
	qt.Assert(t, s.Execute("peer", write).Result.Code, qt.Equals, requester.OK)
}

// Guards against a promise for a write that has run (REFUSED): the answer to an earlier
// BEGIN stood for the refusal of the new one, which was then taken for that of the write.
func TestLateRefusalOfABeginIsNoPromiseForAWrite(t *testing.T) {
	s, p := newRepeater(t)
	earlier := p.given[0]
	refusal := requester.Result{Code: requester.Overloaded, State: requester.Idle}
	p.answer = func(k requester.Kind, r requester.Result) requester.Result {
		if k == requester.Begin { // The refusal arrives after the write was sent.
			return earlier
		}
		return r
	}
	p.before = func(k requester.Kind) []requester.Result {
		if k == requester.Write {
			return []requester.Result{refusal}
		}
		return nil
	}
	p.ran = nil
	r := s.Execute("peer", openingForward("shops", 1))
	qt.Assert(t, r.Result.Code, qt.Equals, requester.OutcomeUnknown, qt.Commentf("ran %v", p.ran))
}

// Guards against a commit that is acknowledged or promised to be undone although nothing
// tells whether its answer is its own.
func TestCommitWithAnAnswerOutOfStepHasAnUnknownOutcome(t *testing.T) {
	s, p := newRepeater(t)
	qt.Assert(t, s.Execute("peer", openingForward("shops", 1)).Result.Code, qt.Equals, requester.OK)
	p.answer = func(_ requester.Kind, r requester.Result) requester.Result {
		r.Signature = ""
		return r
	}
	f := openingForward("shops", 1)
	f.Begin, f.Writes = requester.Unknown, false
	f.Statement = requester.Statement{ID: "i2", Kind: requester.Commit, Text: "COMMIT"}
	qt.Assert(t, s.Execute("peer", f).Result.Code, qt.Equals, requester.OutcomeUnknown)
}

// Guards against a read that fails although it can be repeated: its answer was that to
// another statement.
func TestReadWithAnAnswerOutOfStepIsRepeated(t *testing.T) {
	for _, consistency := range []cataloger.Consistency{cataloger.PrimaryOnly, cataloger.BoundedStaleness} {
		s, p := newRepeater(t)
		p.answer = func(k requester.Kind, r requester.Result) requester.Result {
			if k == requester.Read {
				p.answer = nil
				r.Signature = ""
			}
			return r
		}
		f := primaryRequest(requester.Read, "READ x")
		f.Route.Consistency, f.Route.MaxStaleness = consistency, time.Second
		r := s.Execute("peer", f)
		qt.Assert(t, r.Result.Code, qt.Equals, requester.OK)
		qt.Assert(t, r.Result.Signature, qt.Not(qt.Equals), "")
	}
}

// Guards against an old position that counts as a new one (STALE), because the answers to
// an earlier BEGIN and its ROLLBACK are both received again.
func TestRepeatedSeriesIsNoSample(t *testing.T) {
	s, p := newRepeater(t)
	old := p.given[0].Position
	clock := setClock(s)
	clock.advance(time.Second)
	s.Holder.SetProof(clock.now())
	since := s.Holder.Clock()
	earlier := slices.Clone(p.given)
	p.before = func(k requester.Kind) []requester.Result {
		if k != requester.Begin {
			return nil
		}
		p.before = nil
		return earlier
	}
	qt.Assert(t, s.ConfirmLeader(s.Holder.Catalog().Servers["rentals"][0]), qt.IsNil)
	sample, _ := s.Sampler("rentals").Latest()
	qt.Assert(t, sample.RequestedAt >= since && sample.Position == old, qt.IsFalse, qt.Commentf("sample %v of %v", sample.Position, p.end))
}

// Guards against a former primary that counts as the primary, because the answers to an
// earlier BEGIN and its ROLLBACK are both received again after it was replaced.
func TestRepeatedSeriesIsNoLeader(t *testing.T) {
	s, p := newRepeater(t)
	earlier := slices.Clone(p.given)
	var late []requester.Result
	p.before = func(k requester.Kind) []requester.Result {
		if k != requester.Begin {
			return nil
		}
		defer func() { late = nil }()
		return late
	}
	p.answer = func(_ requester.Kind, r requester.Result) requester.Result {
		refusal := requester.Result{Code: requester.ReadOnly, State: requester.Idle, Position: r.Position}
		if len(earlier) == 0 {
			return refusal
		}
		repeat := earlier[0]
		earlier, late = earlier[1:], append(late, refusal)
		return repeat
	}
	err := s.ConfirmLeader(s.Holder.Catalog().Servers["rentals"][0])
	qt.Assert(t, err, qt.ErrorIs, fencer.ErrNotLeading)
}

// Guards against samples that a primary without commits does not give.
func TestSamplesOfAPrimaryWithoutCommits(t *testing.T) {
	s, p := newRepeater(t)
	clock := setClock(s)
	position := p.given[0].Position
	p.answer = func(_ requester.Kind, r requester.Result) requester.Result {
		r.Position = position
		return r
	}
	for range 3 {
		clock.advance(time.Second)
		s.Holder.SetProof(clock.now())
		since := s.Holder.Clock()
		qt.Assert(t, s.ConfirmLeader(s.Holder.Catalog().Servers["rentals"][0]), qt.IsNil)
		sample, _ := s.Sampler("rentals").Latest()
		qt.Assert(t, sample.RequestedAt, qt.Equals, since)
	}
	qt.Assert(t, p.dialed, qt.Equals, 1)
}

// Guards against a statement that opens connections without a pause to a server that sends
// data on each of them before the first statement.
func TestConnectionsWithUnreadDataAreNotOpenedWithoutAPause(t *testing.T) {
	s, p := newRepeater(t)
	s.Lender.Close()
	s.Lender.Dial = func(deadline time.Time, b cataloger.BackendServer, w identifier.WorkspaceName) (lender.Link, error) {
		link, err := p.dial(deadline, b, w)
		link.Open, link.Unread = func() bool { return false }, func() bool { return true }
		return link, err
	}
	p.dialed = 0
	began := time.Now()
	r := s.Execute("peer", primaryRequest(requester.Write, "WRITE x 1"))
	qt.Assert(t, r.Result.Code, qt.Equals, requester.Overloaded)
	qt.Assert(t, p.dialed <= 3+int(time.Since(began)/retryPause), qt.IsTrue, qt.Commentf("%d connections", p.dialed))
}

// Guards against a promise for a write that has run without its transaction (REFUSED), as the
// state in its answer shows.
func TestSuccessOutsideTheTransactionIsNoPromise(t *testing.T) {
	s, p := newRepeater(t)
	p.answer = func(k requester.Kind, r requester.Result) requester.Result {
		if k == requester.Write {
			r.State = requester.Idle
		}
		return r
	}
	qt.Assert(t, s.Execute("peer", openingForward("shops", 1)).Result.Code, qt.Equals, requester.OutcomeUnknown)
}
