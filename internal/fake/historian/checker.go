package historian

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// Values of Violation.Rule.
const (
	RuleReadYourWrites = "read_your_writes"
	RuleAtMostOnce     = "at_most_once"
	RuleNoLostWrites   = "no_lost_writes"
	RuleNoStaleTerm    = "no_stale_term"
	RuleRate           = "rate"
	RuleAnswer         = "answer"
	RuleNotRun         = "not_run"
	RuleWithdrawnKey   = "withdrawn_key"
)

// checker checks one history and collects its violations.
type checker struct {
	*History
	violations  []Violation
	committedAt map[string]identifier.Position // lazily built by position, keyed by operation
}

func (c *checker) addViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// readYourWrites checks that an acknowledged read contains every write of its
// session to the same key that was acknowledged before the read was sent (G1).
func (c *checker) readYourWrites() {
	type sessionKey struct{ session, key string }
	acknowledged := map[sessionKey][]Write{}
	for _, w := range c.Writes {
		if w.Outcome == Acknowledged {
			k := sessionKey{w.Session, w.Key}
			acknowledged[k] = append(acknowledged[k], w)
		}
	}
	for _, r := range c.Reads {
		if r.Outcome != Acknowledged {
			continue
		}
		seen := toSet(r.Values)
		for _, w := range acknowledged[sessionKey{r.Session, r.Key}] {
			if w.Answered <= r.Sent && !seen[w.Operation] {
				c.addViolation(RuleReadYourWrites, "session %s: read %s sent at %v misses write %s answered at %v",
					r.Session, r.Operation, r.Sent, w.Operation, w.Answered)
			}
		}
	}
}

// requestKey identifies a request; request ids are unique within a workspace.
type requestKey struct {
	workspace identifier.WorkspaceName
	id        identifier.RequestID
}

// atMostOnce checks that of all executions with a request id at most one is in
// the final log, and at most one is acknowledged (G10). An execution in a
// discarded suffix of the log has no lasting effect and does not count.
func (c *checker) atMostOnce() {
	finals := c.finals()
	surviving, acknowledged := map[requestKey][]string{}, map[requestKey][]string{}
	type commit struct {
		server   identifier.BackendServerID
		position identifier.Position
	}
	seen := map[commit]bool{}
	for _, e := range c.Executions {
		at := commit{e.Server, e.Position}
		if e.RequestID == "" || !e.Committed || e.Position.Offset == 0 || seen[at] {
			continue // The statements of one transaction share one position.
		}
		seen[at] = true
		if f, ok := finals[e.Service]; !ok || f.contains(e.Position) {
			r := requestKey{e.Workspace, e.RequestID}
			surviving[r] = append(surviving[r], fmt.Sprintf("%s on %s at %s", e.Operation, e.Server, e.Position))
		}
	}
	for _, w := range c.Writes {
		if w.RequestID != "" && w.Outcome == Acknowledged {
			r := requestKey{w.Workspace, w.RequestID}
			acknowledged[r] = append(acknowledged[r], w.Operation)
		}
	}
	c.reportRepeated("ran", surviving)
	c.reportRepeated("was acknowledged", acknowledged)
}

// reportRepeated adds a violation for each request with more than one operation,
// ordered by workspace and request id.
func (c *checker) reportRepeated(event string, runs map[requestKey][]string) {
	requests := slices.SortedFunc(maps.Keys(runs), func(a, b requestKey) int {
		return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.id, b.id))
	})
	for _, r := range requests {
		if operations := runs[r]; len(operations) > 1 {
			c.addViolation(RuleAtMostOnce, "workspace %s request %s %s %d times: %q", r.workspace, r.id, event, len(operations), operations)
		}
	}
}

// noLostWrites checks that the final state contains every acknowledged write
// that is durable or that a surviving member had received.
func (c *checker) noLostWrites() {
	finals := c.finals()
	type serviceTerm struct {
		service identifier.ServiceName
		term    identifier.Term
	}
	received := map[serviceTerm]identifier.LogOffset{}
	for _, r := range c.Receipts {
		if r.Survived {
			k := serviceTerm{r.Service, r.Position.Term}
			received[k] = max(received[k], r.Position.Offset)
		}
	}
	present := map[string]bool{}
	for _, f := range c.Finals {
		for _, values := range f.Values {
			for _, v := range values {
				present[v] = true
			}
		}
	}
	for _, w := range c.Writes {
		_, hasFinal := finals[w.Service]
		if w.Outcome != Acknowledged || !hasFinal || present[w.Operation] {
			continue
		}
		at := c.position(w)
		receivedUpTo, ok := received[serviceTerm{w.Service, at.Term}]
		switch {
		case w.Durable:
			c.addViolation(RuleNoLostWrites, "durable write %s at %s is missing", w.Operation, at)
		case ok && !at.IsZero() && at.Offset <= receivedUpTo:
			c.addViolation(RuleNoLostWrites, "write %s at %s is missing, a surviving member had received up to %d", w.Operation, at, receivedUpTo)
		}
	}
}

// noStaleAcknowledgements checks that no write of a term is acknowledged after a
// newer term of the service has begun (G2), with the tolerance Delivery.
func (c *checker) noStaleAcknowledgements() {
	for _, w := range c.Writes {
		at := c.position(w)
		if w.Outcome != Acknowledged || at.IsZero() {
			continue
		}
		for _, o := range c.Terms {
			if o.Service == w.Service && o.Term > at.Term && w.Answered > o.At+c.Delivery {
				c.addViolation(RuleNoStaleTerm, "write %s of term %d acknowledged at %v, term %d opened at %v",
					w.Operation, at.Term, w.Answered, o.Term, o.At)
				break
			}
		}
	}
}

// admissionRates checks that the admissions of a workspace in any window of
// length t cost at most rate x t + burst in sum (G7). Of all windows that end at
// an admission, the one with the largest excess begins at the admission with the
// least value of (cost admitted before it) - rate x (its time). One pass over the
// sorted admissions, which keeps this minimum, therefore covers all windows.
func (c *checker) admissionRates() {
	admissions := slices.Clone(c.Admissions)
	slices.SortStableFunc(admissions, func(a, b Admission) int { return cmp.Compare(a.At, b.At) })
	for _, l := range c.Limits {
		total, minLevel, windowStart := 0.0, 0.0, time.Duration(-1)
		for _, a := range admissions {
			if a.Workspace != l.Workspace {
				continue
			}
			if level := total - l.Rate*a.At.Seconds(); windowStart < 0 || level < minLevel {
				minLevel, windowStart = level, a.At
			}
			total += a.Cost
			// The rounding errors of the floating-point sums are far below 1e-6.
			if excess := total - l.Rate*a.At.Seconds() - minLevel - l.Burst; excess > 1e-6 {
				c.addViolation(RuleRate, "workspace %s: %.3f over rate %g and burst %g from %v to %v",
					l.Workspace, excess, l.Rate, l.Burst, windowStart, a.At)
				break
			}
		}
	}
}

// answersMatchRequests checks that a client receives the complete answer to its
// own request (G8).
func (c *checker) answersMatchRequests() {
	for _, a := range c.Answers {
		if a.Echo != a.Operation || a.Rows != a.WantRows {
			c.addViolation(RuleAnswer, "request %s got the answer to %q with %d of %d rows", a.Operation, a.Echo, a.Rows, a.WantRows)
		}
	}
}

// refusedNeverRan checks that a request that was refused as not run is in no
// backend server's statement record, and its value in no set that was read (G9).
func (c *checker) refusedNeverRan() {
	refused := map[string]bool{}
	for _, w := range c.Writes {
		refused[w.Operation] = w.Outcome == Refused
	}
	for _, r := range c.Reads {
		refused[r.Operation] = r.Outcome == Refused
	}
	for _, e := range c.Executions {
		if refused[e.Operation] {
			c.addViolation(RuleNotRun, "%s was refused as not run, but ran on %s", e.Operation, e.Server)
		}
	}
	for _, r := range c.Reads {
		for _, v := range r.Values {
			if refused[v] {
				c.addViolation(RuleNotRun, "%s was refused as not run, but read %s saw it", v, r.Operation)
			}
		}
	}
}

// withdrawnKeysRejected checks that no request ran with a key whose withdrawal
// was accepted more than the grace period before the request was sent (G6).
func (c *checker) withdrawnKeysRejected() {
	for _, u := range c.KeyUses {
		for _, w := range c.Withdrawals {
			if u.Key == w.Key && u.Sent > w.At+c.KeyGrace {
				c.addViolation(RuleWithdrawnKey, "request %s sent at %v ran with key %s withdrawn at %v", u.Operation, u.Sent, u.Key, w.At)
			}
		}
	}
}

// position returns the log position of a write as recorded by the client, or
// else by the backend server that committed it.
func (c *checker) position(w Write) identifier.Position {
	if !w.Position.IsZero() {
		return w.Position
	}
	if c.committedAt == nil {
		c.committedAt = map[string]identifier.Position{}
		for _, e := range c.Executions {
			if e.Committed && e.Position.Offset > 0 {
				c.committedAt[e.Operation] = e.Position
			}
		}
	}
	return c.committedAt[w.Operation]
}

// finals returns the final states by service.
func (c *checker) finals() map[identifier.ServiceName]FinalState {
	finals := map[identifier.ServiceName]FinalState{}
	for _, f := range c.Finals {
		finals[f.Service] = f
	}
	return finals
}

// contains reports whether a position is in the final log: the log has its term,
// and its offset is not beyond the end of that term, which is the start of the
// next term or the end of the log.
func (f FinalState) contains(p identifier.Position) bool {
	for i, h := range f.History {
		if h.Term != uint64(p.Term) {
			continue
		}
		end := uint64(f.Received)
		if i+1 < len(f.History) {
			end = f.History[i+1].Offset
		}
		return uint64(p.Offset) <= end
	}
	return false
}

func toSet(values []string) map[string]bool {
	s := make(map[string]bool, len(values))
	for _, v := range values {
		s[v] = true
	}
	return s
}
