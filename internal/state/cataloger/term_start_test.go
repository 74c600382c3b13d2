package cataloger_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Guards against a candidate with discarded commits that may lead, and one that only lacks commits and may not.
func TestTermStartsTellDiscardedCommits(t *testing.T) {
	starts := cataloger.TermStarts("").With(2, identifier.Position{Term: 1, Offset: 104}).With(4, identifier.Position{Term: 2, Offset: 110})
	qt.Assert(t, starts, qt.Equals, cataloger.TermStarts("2@1/104 4@2/110"))
	for text, want := range map[string]bool{
		"1/104": false, "1/90": false, "1/105": true, "1/200": true, // The second term began after 104.
		"2/105": false, "2/110": false, "2/111": true, // The fourth began after 110.
		"3/111": true, "4/111": false, "4/500": false, "5/112": false, "0/0": false,
	} {
		end, err := identifier.ParsePosition(text)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, starts.HasDiscarded(end), qt.Equals, want, qt.Commentf("%s", text))
	}
}

// Guards against a record that grows with each replacement, and against starts of terms that come late.
func TestTermStartsAreBounded(t *testing.T) {
	var starts cataloger.TermStarts
	for term := identifier.Term(2); term < 40; term++ {
		starts = starts.With(term, identifier.Position{Term: term - 1, Offset: identifier.LogOffset(term) * 10})
	}
	qt.Assert(t, starts, qt.Equals, cataloger.TermStarts("32@31/320 33@32/330 34@33/340 35@34/350 36@35/360 37@36/370 38@37/380 39@38/390"))
	qt.Assert(t, starts.With(39, identifier.Position{Term: 38, Offset: 1}), qt.Equals, starts)
	qt.Assert(t, starts.With(7, identifier.Position{}), qt.Equals, starts)
}

// Guards against a start in a form of another release that ends a process or makes all logs unusable.
func TestUnknownTermStartsAreIgnored(t *testing.T) {
	for _, starts := range []cataloger.TermStarts{"", "x", "2", "2@", "@1/1", "2@1", "2@1/x", "-2@1/1", "99999999999999999999@1/1"} {
		qt.Assert(t, starts.HasDiscarded(identifier.Position{Term: 1, Offset: 500}), qt.IsFalse, qt.Commentf("%q", starts))
		qt.Assert(t, starts.With(3, identifier.Position{Term: 2, Offset: 4}).HasDiscarded(identifier.Position{Term: 2, Offset: 5}), qt.IsTrue, qt.Commentf("%q", starts))
	}
}

// Guards against a start that contradicts a later promotion: logs that the newest term continues are taken for discarded.
func TestTermStartsFollowAPromotionOfDiscardedCommits(t *testing.T) {
	starts := cataloger.TermStarts("2@1/100").With(3, identifier.Position{Term: 1, Offset: 104})
	qt.Assert(t, starts.HasDiscarded(identifier.Position{Term: 1, Offset: 104}), qt.IsFalse)
	qt.Assert(t, starts.HasDiscarded(identifier.Position{Term: 1, Offset: 105}), qt.IsTrue)
	qt.Assert(t, starts.HasDiscarded(identifier.Position{Term: 2, Offset: 102}), qt.IsTrue) // Term 2 is not in the log.
}
