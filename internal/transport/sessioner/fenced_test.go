package sessioner

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/sampler"
	"oleanderpulley/internal/transport/lender"
)

// replaceDuring connects the server to a backend server that answers everything
// with success. Before it answers a statement of the kind replacedAt, another
// instance announces a replacement of the primary.
func replaceDuring(s *Server, replacedAt requester.Kind) {
	s.Lender.Dial = func(time.Time, cataloger.BackendServer, identifier.WorkspaceName) (lender.Link, error) {
		var pending []requester.Statement
		var answers fakeAnswers
		return lender.Link{
			Send: func(_ time.Time, statements ...requester.Statement) error {
				pending = append(pending, statements...)
				return nil
			},
			Receive: func(time.Time) (requester.Result, error) {
				k := pending[0].Kind
				pending = pending[1:]
				if k == replacedAt {
					s.Fencer.Observe("rentals", cataloger.Leadership{Holder: "other", Revision: cataloger.Revision{Number: 7}})
				}
				return answers.answer(k, identifier.Position{Term: 1, Offset: 5}), nil
			},
			Open:  func() bool { return true },
			Close: func() {},
		}, nil
	}
}

func primaryRequest(k requester.Kind, text string) ForwardRequest {
	f := openingForward("shops", 0)
	f.Begin = requester.Unknown
	f.Route.TargetLatency = 50 * time.Millisecond
	f.Writes = k == requester.Write
	f.Statement = requester.Statement{ID: "i1", Kind: k, Text: text}
	return f
}

// Guards against the acknowledgement of a write that a replaced primary may have
// run after its successor was promoted (ONE on trouble-1 of vandpyt-drift).
func TestWriteAnsweredAfterTheRevocationIsNotAcknowledged(t *testing.T) {
	s, _ := newTestServer()
	replaceDuring(s, requester.Write)
	r := s.Execute("peer", primaryRequest(requester.Write, "WRITE x 1"))
	qt.Assert(t, r.Result.Code, qt.Equals, requester.OutcomeUnknown)
	_, sampled := s.Sampler("rentals").Latest()
	qt.Assert(t, sampled, qt.IsFalse)
}

// Guards against a read of a replaced primary that misses commits of its
// successor, against its position as a sample, and against a refusal that says of
// a read that has run that it has not.
func TestReadAnsweredAfterTheRevocationIsNotReturned(t *testing.T) {
	codes := map[requester.Kind]requester.Code{requester.Begin: requester.Overloaded, requester.Read: requester.OutcomeUnknown}
	for replacedAt, code := range codes {
		s, _ := newTestServer()
		replaceDuring(s, replacedAt)
		r := s.Execute("peer", primaryRequest(requester.Read, "READ x"))
		qt.Assert(t, r.Result.Code, qt.Equals, code)
		_, sampled := s.Sampler("rentals").Latest()
		qt.Assert(t, sampled, qt.IsFalse)
	}
}

// Guards against the acknowledgement of a transaction at a replaced primary: a
// statement fails, and the outcome of a commit is unknown.
func TestTransactionThatIsRevokedIsNotAcknowledged(t *testing.T) {
	s, _ := newTestServer()
	replaceDuring(s, requester.Write)
	r := s.Execute("peer", openingForward("shops", 1))
	qt.Assert(t, r.Result.Code, qt.Equals, requester.Aborted)

	s, _ = newTestServer()
	replaceDuring(s, requester.Commit)
	qt.Assert(t, s.Execute("peer", openingForward("shops", 1)).Result.Code, qt.Equals, requester.OK)
	f := openingForward("shops", 1)
	f.Begin, f.Writes = requester.Unknown, false
	f.Statement = requester.Statement{ID: "i2", Kind: requester.Commit, Text: "COMMIT"}
	qt.Assert(t, s.Execute("peer", f).Result.Code, qt.Equals, requester.OutcomeUnknown)
}

// Guards against the use of a primary under a proof that is so old that a
// successor may have been promoted meanwhile, and against a wait for a new
// proof, which another instance may already have.
func TestPrimaryIsNotUsedUnderAnOldProof(t *testing.T) {
	s, _ := newTestServer()
	replaceDuring(s, requester.Unknown)
	now := s.Holder.Clock()
	s.Holder.Now = func() time.Duration { return now + time.Hour }
	started := time.Now()
	r := s.Execute("peer", primaryRequest(requester.Write, "WRITE x 1"))
	qt.Assert(t, r.Result.Code, qt.Equals, requester.Overloaded)
	qt.Assert(t, r.Result.Unreached, qt.IsTrue)
	qt.Assert(t, time.Since(started) < 40*time.Millisecond, qt.IsTrue)
}

// Guards against a server that was replaced and goes on leading, while this
// instance was told so only by the store.
func TestReplacedPrimaryIsNotUsed(t *testing.T) {
	s, _ := newTestServer()
	replaceDuring(s, requester.Unknown)
	s.Fencer.Observe("rentals", cataloger.Leadership{Server: "other", Term: 2, Revision: cataloger.Revision{Number: 7}})
	r := s.Execute("peer", primaryRequest(requester.Write, "WRITE x 1"))
	qt.Assert(t, r.Result.Code, qt.Equals, requester.Overloaded)
}

// Guards against reads that rely on what the record of a replacement says (STALE), and
// against reads that wait for a new primary although a sample of the old one is recent.
func TestReadsInAReplacementRelyOnSamplesAlone(t *testing.T) {
	s, _ := newTestServer()
	replaceDuring(s, requester.Unknown)
	clock := setClock(s)
	request := primaryRequest(requester.Read, "READ x")
	request.Route.Consistency = cataloger.BoundedStaleness
	request.Route.MaxStaleness = time.Second
	s.Fencer.Observe("rentals", cataloger.Leadership{Holder: "other", Successor: "b", Revision: cataloger.Revision{Number: 8}})
	qt.Assert(t, s.Execute("peer", request).Result.Code, qt.Equals, requester.Lagging)

	s.Sampler("rentals").Add(sampler.Sample{Position: identifier.Position{Term: 1, Offset: 4}, RequestedAt: clock.now()})
	clock.advance(request.Route.MaxStaleness - time.Millisecond)
	qt.Assert(t, s.Execute("peer", request).Result.Code, qt.Equals, requester.OK)
	clock.advance(time.Second)
	s.Holder.SetProof(clock.now())
	qt.Assert(t, s.Execute("peer", request).Result.Code, qt.Equals, requester.Lagging)
}

// Guards against a refusal that says of a read that was sent to a replica and not
// answered that it has not run.
func TestUnansweredReadMayHaveRun(t *testing.T) {
	s, _ := newTestServer()
	s.Sampler("rentals").Add(sampler.Sample{Position: identifier.Position{Term: 1, Offset: 1}, RequestedAt: s.Holder.Clock()})
	s.Lender.Dial = func(time.Time, cataloger.BackendServer, identifier.WorkspaceName) (lender.Link, error) {
		return lender.Link{
			Send:    func(time.Time, ...requester.Statement) error { return nil },
			Receive: func(time.Time) (requester.Result, error) { return requester.Result{}, io.EOF },
			Open:    func() bool { return true },
			Close:   func() {},
		}, nil
	}
	f := primaryRequest(requester.Read, "READ x")
	f.Route.Consistency, f.Route.MaxStaleness = cataloger.BoundedStaleness, time.Second
	f.Route.StatementTimeout = 50 * time.Millisecond
	r := s.Execute("peer", f)
	qt.Assert(t, r.Result.Code, qt.Equals, requester.OutcomeUnknown)
}
