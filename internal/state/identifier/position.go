package identifier

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrInvalidPosition reports a text that cannot be parsed as a [Position].
var ErrInvalidPosition = errors.New("position is not of the form term/offset")

// Position is a position in the log of a database group.
type Position struct {
	Term   Term      `json:"term" cbor:"term"`
	Offset LogOffset `json:"offset" cbor:"offset"`
}

// ParsePosition parses the text form "term/offset" with two decimal numbers. It
// returns [ErrInvalidPosition] for any other text.
func ParsePosition(text string) (Position, error) {
	term, offset, found := strings.Cut(text, "/")
	if !found {
		return Position{}, errors.Wrapf(ErrInvalidPosition, "%.40q", text)
	}
	termNumber, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, errors.Wrapf(ErrInvalidPosition, "term %.20q", term)
	}
	offsetNumber, err := strconv.ParseUint(offset, 10, 64)
	if err != nil {
		return Position{}, errors.Wrapf(ErrInvalidPosition, "offset %.20q", offset)
	}
	return Position{Term: Term(termNumber), Offset: LogOffset(offsetNumber)}, nil
}

// String returns the text form that [ParsePosition] parses.
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Term), 10) + "/" + strconv.FormatUint(uint64(p.Offset), 10)
}

// Compare returns -1 if p is before q, 1 if it is after q, and 0 if they are equal.
// Every position of a later term is after those of earlier terms.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Offset, q.Offset))
}

// IsZero reports whether p is the zero value, which means that no position is
// given.
func (p Position) IsZero() bool {
	return p == Position{}
}
