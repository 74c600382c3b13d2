package historian

import (
	"fmt"
	"sync"
	"time"

	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/state/identifier"
)

// Outcome is the result of a request as observed by the client.
type Outcome string

// Outcomes of a request.
const (
	Acknowledged Outcome = "acknowledged" // it ran
	Unknown      Outcome = "unknown"      // it may or may not have run, or no answer came
	Refused      Outcome = "refused"      // it did not run
	AlreadyRun   Outcome = "already_run"  // a request with the same id ran before
)

// Write is a write request of a session. Operation identifies the request
// uniquely and is also the value that it adds to the set of Key.
type Write struct {
	Operation string
	Session   string
	Service   identifier.ServiceName
	Workspace identifier.WorkspaceName
	RequestID identifier.RequestID // empty for a request that may be repeated
	Key       string
	Sent      time.Duration
	Answered  time.Duration
	Outcome   Outcome
	// Position is the log position of an acknowledged write. If it is zero, the
	// position of the committed execution of the operation is used, if any.
	Position identifier.Position
	// Durable marks a write that is acknowledged only after a majority of the
	// members has received it.
	Durable bool
}

// Read is a read request of a session.
type Read struct {
	Operation string
	Session   string
	Key       string
	Sent      time.Duration
	Answered  time.Duration
	Outcome   Outcome
	Values    []string // the set of Key as returned by an acknowledged read
}

// Answer is an answer that a client received to the request Operation. Echo is
// the operation that the answer itself contains; Rows and WantRows are the
// numbers of received and of expected rows.
type Answer struct {
	Operation string
	Echo      string
	Rows      int
	WantRows  int
}

// Admission is a request that an instance charged to the rate of a workspace.
type Admission struct {
	At        time.Duration
	Workspace identifier.WorkspaceName
	Cost      float64
}

// Limit is the rate per second and burst of a workspace, constant over a trial.
type Limit struct {
	Workspace identifier.WorkspaceName
	Rate      float64
	Burst     float64
}

// TermOpened records when a member became the primary of a term.
type TermOpened struct {
	Service identifier.ServiceName
	Term    identifier.Term
	At      time.Duration
}

// Receipt records that a member had received the log of a term up to a position
// in that term. Survived is set if the member was a candidate in the choice of
// the next primary.
type Receipt struct {
	Service  identifier.ServiceName
	Server   identifier.BackendServerID
	Position identifier.Position
	Survived bool
}

// FinalState is the state of a service at the end of the trial: the term history of
// the primary's log, the end of that log, and the sets of all keys.
type FinalState struct {
	Service  identifier.ServiceName
	History  []backendserver.TermStart
	Received identifier.LogOffset
	Values   map[string][]string
}

// Execution is an execution of an operation as recorded by a backend server.
type Execution struct {
	Operation string
	Service   identifier.ServiceName
	Server    identifier.BackendServerID
	Workspace identifier.WorkspaceName
	RequestID identifier.RequestID
	Committed bool
	Position  identifier.Position
}

// KeyWithdrawal records when the withdrawal of a key was accepted.
type KeyWithdrawal struct {
	Key identifier.KeyID
	At  time.Duration
}

// KeyUse is a request that ran with a key. Sent is the time when it was sent.
type KeyUse struct {
	Key       identifier.KeyID
	Operation string
	Sent      time.Duration
}

// Violation is a violation of a rule.
type Violation struct {
	Rule string
	Text string
}

// String returns the rule and the description of its violation.
func (v Violation) String() string { return v.Rule + ": " + v.Text }

// History collects the records of one trial. The zero value is empty. Add is safe
// for concurrent use; the fields may be read only after the trial.
type History struct {
	// Delivery is the longest time between the decision to acknowledge a write
	// and the Answered time of its record.
	Delivery time.Duration
	// KeyGrace is the grace period in which a withdrawn key may still work (G6).
	KeyGrace time.Duration

	Writes      []Write
	Reads       []Read
	Answers     []Answer
	Admissions  []Admission
	Limits      []Limit
	Terms       []TermOpened
	Receipts    []Receipt
	Finals      []FinalState
	Executions  []Execution
	Withdrawals []KeyWithdrawal
	KeyUses     []KeyUse

	mu sync.Mutex
}

// Add adds a record of one of the record types of this package, such as Write.
// It panics on any other type, which is a programming error in the trial.
func (h *History) Add(record any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch r := record.(type) {
	case Write:
		h.Writes = append(h.Writes, r)
	case Read:
		h.Reads = append(h.Reads, r)
	case Answer:
		h.Answers = append(h.Answers, r)
	case Admission:
		h.Admissions = append(h.Admissions, r)
	case Limit:
		h.Limits = append(h.Limits, r)
	case TermOpened:
		h.Terms = append(h.Terms, r)
	case Receipt:
		h.Receipts = append(h.Receipts, r)
	case FinalState:
		h.Finals = append(h.Finals, r)
	case Execution:
		h.Executions = append(h.Executions, r)
	case KeyWithdrawal:
		h.Withdrawals = append(h.Withdrawals, r)
	case KeyUse:
		h.KeyUses = append(h.KeyUses, r)
	default:
		panic(fmt.Sprintf("historian: unsupported record type %T", record))
	}
}

// AddRecords adds an execution for each recorded statement of a backend server.
// The function identify returns the operation and the request id of a statement;
// statements with an empty operation are skipped.
func (h *History) AddRecords(
	service identifier.ServiceName, records []backendserver.Record,
	identify func(backendserver.Record) (operation string, id identifier.RequestID),
) {
	for _, r := range records {
		operation, id := identify(r)
		if operation == "" {
			continue
		}
		h.Add(Execution{
			Operation: operation, Service: service, Server: identifier.BackendServerID(r.Server),
			Workspace: identifier.WorkspaceName(r.Workspace), RequestID: id, Committed: r.Committed,
			Position: identifier.Position{Term: identifier.Term(r.Term), Offset: identifier.LogOffset(r.End)},
		})
	}
}

// Check checks the history against all rules and returns the violations.
func (h *History) Check() []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &checker{History: h}
	c.readYourWrites()
	c.atMostOnce()
	c.noLostWrites()
	c.noStaleAcknowledgements()
	c.admissionRates()
	c.answersMatchRequests()
	c.refusedNeverRan()
	c.withdrawnKeysRejected()
	return c.violations
}
