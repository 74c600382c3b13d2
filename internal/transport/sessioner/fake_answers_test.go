package sessioner

import (
	"strconv"
	"time"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/lender"
)

// answeringLink returns a connection on which each statement gets its answer at once.
func answeringLink(answer func(requester.Statement) requester.Result) lender.Link {
	var pending []requester.Result
	return lender.Link{
		Send: func(_ time.Time, statements ...requester.Statement) error {
			for _, st := range statements {
				pending = append(pending, answer(st))
			}
			return nil
		},
		Receive: func(time.Time) (requester.Result, error) {
			r := pending[0]
			pending = pending[1:]
			return r, nil
		},
		Open:  func() bool { return true },
		Close: func() {},
	}
}

// fakeAnswers gives the successful answers of a connection to a backend server. The zero
// value is a new connection.
type fakeAnswers struct {
	inTransaction bool
	signatures    int
}

// answer returns the answer to a statement of the kind.
func (f *fakeAnswers) answer(k requester.Kind, end identifier.Position) requester.Result {
	r := requester.Result{State: requester.Idle, Position: end}
	switch k {
	case requester.Begin, requester.BeginReadOnly:
		f.inTransaction = true
	case requester.Commit, requester.Rollback:
		f.inTransaction = false
	}
	switch k {
	case requester.Read, requester.Write, requester.Execute, requester.Commit:
		f.signatures++
		r.Signature = "s" + strconv.Itoa(f.signatures)
	}
	if f.inTransaction {
		r.State = requester.InTransaction
	}
	return r
}
