package splitter

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// ErrMalformed reports a document whose delimiters do not match.
var ErrMalformed = errors.New("document is not well delimited")

// Member is a member of an object. Value shares the memory of the document.
type Member struct {
	Name  string
	Value []byte
}

// Elements returns the elements of the array that the data consists of. They share
// the memory of the data.
func Elements(data []byte) ([][]byte, error) {
	s := scanner{data: data}
	var elements [][]byte
	err := s.container('[', ']', func() error {
		value, err := s.value()
		elements = append(elements, value)
		return err
	})
	return elements, err
}

// Members returns the members of the object that the data consists of, in their
// order. A name that occurs more than once is returned more than once.
func Members(data []byte) ([]Member, error) {
	s := scanner{data: data}
	var members []Member
	err := s.container('{', '}', func() error {
		name, err := s.name()
		if err != nil {
			return err
		}
		value, err := s.value()
		members = append(members, Member{name, value})
		return err
	})
	return members, err
}

// scanner reads a document from the position next.
type scanner struct {
	data []byte
	next int
}

// container reads the whole document as one array or object and calls part at the
// start of each of its parts.
func (s *scanner) container(opening, closing byte, part func() error) error {
	if !s.accept(opening) {
		return s.malformed()
	}
	if !s.accept(closing) {
		for {
			if err := part(); err != nil {
				return err
			}
			if s.accept(closing) {
				break
			}
			if !s.accept(',') {
				return s.malformed()
			}
		}
	}
	if s.skipSpace(); s.next != len(s.data) {
		return s.malformed()
	}
	return nil
}

// value reads one value of any depth.
func (s *scanner) value() ([]byte, error) {
	s.skipSpace()
	start := s.next
	var open nesting
	for {
		opened, err := s.valueStart(&open)
		if err != nil {
			return nil, err
		}
		if opened {
			continue
		}
		for {
			if open.depth == 0 {
				return s.data[start:s.next], nil
			}
			if s.accept(',') {
				if err := s.skipName(open.isObject()); err != nil {
					return nil, err
				}
				break
			}
			if !s.accept(open.closing()) {
				return nil, s.malformed()
			}
			open.pop()
		}
	}
}

// valueStart reads a scalar, an empty container, or the start of another container up
// to its first value. It reports whether it has opened a container.
func (s *scanner) valueStart(open *nesting) (opened bool, err error) {
	switch {
	case s.accept('{'):
		if s.accept('}') {
			return false, nil
		}
		open.push(true)
		return true, s.skipName(true)
	case s.accept('['):
		if s.accept(']') {
			return false, nil
		}
		open.push(false)
		return true, nil
	}
	return false, s.skipScalar()
}

// skipName skips the name of the next member and its colon, if one is due.
func (s *scanner) skipName(due bool) error {
	if !due {
		return nil
	}
	s.skipSpace()
	if err := s.skipString(); err != nil {
		return err
	}
	if !s.accept(':') {
		return s.malformed()
	}
	return nil
}

// name reads the name of a member and its colon. A name that cannot be decoded is "".
func (s *scanner) name() (string, error) {
	s.skipSpace()
	start := s.next
	if err := s.skipString(); err != nil {
		return "", err
	}
	quoted := s.data[start:s.next]
	if !s.accept(':') {
		return "", s.malformed()
	}
	var name string
	_ = json.Unmarshal(quoted, &name) // Leaves it empty if it fails.
	return name, nil
}

// skipScalar skips a string, or any bytes up to the next delimiter.
func (s *scanner) skipScalar() error {
	s.skipSpace()
	if s.next < len(s.data) && s.data[s.next] == '"' {
		return s.skipString()
	}
	start := s.next
	for s.next < len(s.data) && !isDelimiter(s.data[s.next]) {
		s.next++
	}
	if s.next == start {
		return s.malformed()
	}
	return nil
}

func (s *scanner) skipString() error {
	if s.next >= len(s.data) || s.data[s.next] != '"' {
		return s.malformed()
	}
	for i := s.next + 1; i < len(s.data); i++ {
		switch s.data[i] {
		case '\\':
			i++
		case '"':
			s.next = i + 1
			return nil
		}
	}
	return s.malformed()
}

// accept skips white space and the byte, if that is next.
func (s *scanner) accept(b byte) bool {
	s.skipSpace()
	if s.next >= len(s.data) || s.data[s.next] != b {
		return false
	}
	s.next++
	return true
}

func (s *scanner) skipSpace() {
	for s.next < len(s.data) && isSpace(s.data[s.next]) {
		s.next++
	}
}

func (s *scanner) malformed() error {
	return errors.Wrapf(ErrMalformed, "byte %d of %d", s.next, len(s.data))
}

func isSpace(b byte) bool {
	return b == ' ' || b == '\n' || b == '\t' || b == '\r'
}

func isDelimiter(b byte) bool {
	switch b {
	case '{', '}', '[', ']', ',', ':', '"':
		return true
	}
	return isSpace(b)
}

// nesting is the stack of open containers, with one bit for each.
type nesting struct {
	depth   int
	objects []uint64 // The bits that are set are objects, the others arrays.
}

const wordBits = 64

func (n *nesting) push(object bool) {
	word, bit := n.depth/wordBits, uint(n.depth%wordBits)
	if word == len(n.objects) {
		n.objects = append(n.objects, 0)
	}
	n.objects[word] &^= 1 << bit
	if object {
		n.objects[word] |= 1 << bit
	}
	n.depth++
}

func (n *nesting) pop() {
	n.depth--
}

// isObject reports whether the innermost container is an object.
func (n *nesting) isObject() bool {
	return n.objects[(n.depth-1)/wordBits]>>uint((n.depth-1)%wordBits)&1 == 1
}

// closing returns the byte that ends the innermost container.
func (n *nesting) closing() byte {
	if n.isObject() {
		return '}'
	}
	return ']'
}
