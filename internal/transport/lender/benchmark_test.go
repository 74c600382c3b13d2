package lender_test

import (
	"strconv"
	"testing"
	"time"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/lender"
)

// BenchmarkBorrowFree measures borrowing and returning a free connection while
// nobody waits.
func BenchmarkBorrowFree(b *testing.B) {
	s := newFakeServer(4)
	s.lender.ConcurrencyLimit = func(cataloger.BackendServer) int { return 4 }
	req := request("shops")
	req.Deadline = time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		c, err := s.lender.Borrow(req)
		if err != nil {
			b.Fatal(err)
		}
		s.lender.Return(c)
	}
}

// signingLink returns a link without a network that answers every statement with
// success. No signature is given twice.
func signingLink() lender.Link {
	rows := []string{"qhzkwmtrbelo"}
	state := requester.Idle
	sent := make([]requester.Kind, 0, 8)
	n, first := 0, 0
	return lender.Link{
		Send: func(_ time.Time, statements ...requester.Statement) error {
			sent, first = sent[:0], 0
			for _, st := range statements {
				sent = append(sent, st.Kind)
			}
			return nil
		},
		Receive: func(time.Time) (requester.Result, error) {
			r := requester.Result{Position: identifier.Position{Term: 3, Offset: 1207}}
			switch sent[first] {
			case requester.Begin:
				state = requester.InTransaction
			case requester.Rollback:
				state = requester.Idle
			case requester.Read:
				n++
				r.Rows, r.Signature = rows, "7.1f3.c.2b.90e1c4d2a7b3"+strconv.Itoa(n)
			}
			first++
			r.State = state
			return r, nil
		},
		Open:  func() bool { return true },
		Close: func() {},
	}
}

// BenchmarkRunStatement measures borrowing a free connection, running statements on
// it without a network, and returning it.
func BenchmarkRunStatement(b *testing.B) {
	read := requester.Statement{ID: "5c0e", Kind: requester.Read, Text: "READ 1a4"}
	for name, series := range map[string][]requester.Statement{
		"read":   {read},
		"series": {{Kind: requester.Begin}, read, {Kind: requester.Rollback}},
	} {
		b.Run(name, func(b *testing.B) {
			l := lender.Lender{
				Limit: func(cataloger.BackendServer) int { return 4 },
				Dial: func(time.Time, cataloger.BackendServer, identifier.WorkspaceName) (lender.Link, error) {
					return signingLink(), nil
				},
			}
			req := request("shops")
			req.Deadline = time.Now().Add(time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				c, err := l.Borrow(req)
				if err != nil {
					b.Fatal(err)
				}
				if err := c.Send(req.Deadline, series...); err != nil {
					b.Fatal(err)
				}
				for range series {
					if r, err := c.Receive(req.Deadline); err != nil || r.Code != requester.OK {
						b.Fatal(r, err)
					}
				}
				l.Return(c)
			}
		})
	}
}
