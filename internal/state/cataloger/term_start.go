package cataloger

import (
	"strconv"
	"strings"

	"oleanderpulley/internal/state/identifier"
)

// maxTermStarts is the number of terms of which a record keeps the start. A server that
// is as many replacements behind has long been rolled back by a primary.
const maxTermStarts = 8

// TermStarts says where the newest terms of a service's log begin: for each of them the
// position of the last commit from before it. Each is written as TERM@POSITION, in
// ascending order and separated by blanks; it is a string so that records can be
// compared. The zero value knows no term.
//
// A promotion discards what the promoted server lacks. A server that was cut off at that
// time still has such commits, and its log may be the longest of those that answer later.
type TermStarts string

// With returns the starts with that of one more term, whose last commit from before it
// is at the position. An earlier term than the newest known one changes nothing. A term
// between the position's and the new one is dropped: the log that leads has none of it.
func (s TermStarts) With(term identifier.Term, last identifier.Position) TermStarts {
	var kept []string
	for text := range strings.FieldsSeq(string(s)) {
		known, _, ok := parseTermStart(text)
		switch {
		case ok && known >= term:
			return s
		case !ok || known <= last.Term:
			kept = append(kept, text)
		}
	}
	kept = append(kept, strconv.FormatUint(uint64(term), 10)+"@"+last.String())
	if len(kept) > maxTermStarts {
		kept = kept[len(kept)-maxTermStarts:]
	}
	return TermStarts(strings.Join(kept, " "))
}

// HasDiscarded reports whether a log that ends at the position has commits that a known
// term does not have, because its promotion discarded them.
func (s TermStarts) HasDiscarded(end identifier.Position) bool {
	for text := range strings.FieldsSeq(string(s)) {
		if term, last, ok := parseTermStart(text); ok && end.Term < term {
			return end.Offset > last.Offset || end.Term > last.Term
		}
	}
	return false
}

// parseTermStart parses one start. A text of another form, from another release, is no
// start that this one knows.
func parseTermStart(text string) (term identifier.Term, last identifier.Position, ok bool) {
	number, position, _ := strings.Cut(text, "@")
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return 0, identifier.Position{}, false
	}
	last, err = identifier.ParsePosition(position)
	return identifier.Term(n), last, err == nil
}
