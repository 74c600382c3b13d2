package lender_test

import (
	"testing"
	"time"

	"oleanderpulley/internal/state/cataloger"
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
