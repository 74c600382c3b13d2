package acceptor

import (
	"bytes"
	"strings"

	"oleanderpulley/internal/protocol/classifier"
	"oleanderpulley/internal/protocol/framer"
)

// answer describes the response to the statements of a Query or Execute. The zero
// value fits any response.
type answer struct {
	tags       classifier.Tags
	statements int
	counted    bool // statements is the number of outcomes that the server sends.
}

// Answers to the statements of the proxy. Their texts need only have the first words of
// the statements that are sent.
var (
	settingAnswer       = answerToText("SET x = y")
	recordAnswer        = answerToText("INSERT INTO x")
	wrappedRecordAnswer = answerToText("BEGIN; INSERT INTO x")
	commitAnswer        = answerToText("COMMIT")
)

func answerTo(s *classifier.Summary) answer { return answer{s.Tags, s.Count, !s.Uncertain} }

func answerToText(sql string) answer {
	s := classifier.Classify([]byte(sql))
	return answerTo(&s)
}

// samePortal reports whether an Execute message runs the portal of a Bind message.
func samePortal(bind, execute []byte) bool {
	portal, _, ok := framer.CutText(bind)
	name, _, ok2 := framer.CutText(execute)
	return ok && ok2 && bytes.Equal(portal, name)
}

// classifyFrame reports whether a frame may occur in the response at this point,
// and whether it completes the response. A frame that may not occur belongs to
// another statement.
func (e *expectedResponse) classifyFrame(kind byte, frame []byte) (ends, allowed bool) {
	switch e.kind {
	case 'P':
		return kind == '1', kind == '1'
	case 'B':
		return kind == '2', kind == '2'
	case 'C':
		return kind == '3', kind == '3'
	case 'S':
		return kind == 'Z', kind == 'Z'
	case 'D':
		if kind == 't' {
			allowed = e.stmt != nil && !e.described
			e.described = true
			return false, allowed
		}
		return true, (kind == 'T' || kind == 'n') && (e.stmt == nil || e.described)
	}
	return e.classifyAnswer(kind, frame)
}

// classifyAnswer is classifyFrame for the response to a Query or Execute.
func (e *expectedResponse) classifyAnswer(kind byte, frame []byte) (ends, allowed bool) {
	switch kind {
	case 'Z':
		return true, e.kind == 'Q' && (e.outcomes > 0 || e.failed)
	case 'C', 'I':
		allowed = e.mayContinue() && e.fitsOutcome(kind, frame)
		e.outcomes, e.begun = e.outcomes+1, false
		return e.kind == 'E', allowed
	case 's':
		return true, e.kind == 'E'
	case 'T', 'H', 'G':
		// Each of them is the first message of a statement with rows or copy data.
		allowed = e.mayContinue() && !e.begun && (kind != 'T' || e.kind == 'Q')
		e.begun = true
		return false, allowed
	case 'D', 'd', 'c':
		e.begun = true
		return false, e.mayContinue()
	}
	return false, false
}

// mayContinue reports whether rows, copy data or an outcome may follow. They may
// not follow an error or the outcome of the last statement.
func (e *expectedResponse) mayContinue() bool {
	return !e.failed && (!e.answer.counted || e.outcomes < max(e.answer.statements, 1))
}

// fitsOutcome reports whether a CommandComplete or EmptyQueryResponse is the
// outcome of one of the statements.
func (e *expectedResponse) fitsOutcome(kind byte, frame []byte) bool {
	if !e.answer.counted {
		return kind == 'I' || e.answer.tags == 0 || e.answer.tags.Contain(tagOf(frame))
	}
	if e.answer.statements == 0 {
		return kind == 'I'
	}
	return kind == 'C' && e.answer.tags.Contain(tagOf(frame))
}

func tagOf(frame []byte) []byte {
	tag, _, _ := framer.CutText(frame[framer.HeaderSize:])
	return tag
}

// mayFail reports whether an ErrorResponse may be part of the response.
func (e *expectedResponse) mayFail() bool {
	switch e.kind {
	case 'Q':
		return e.mayContinue()
	case 'S':
		return !e.failed
	}
	return true
}

// fitsStatus reports whether the batch can lead from one transaction status to
// another. A batch without transaction statements keeps the status, except that an
// error fails an open transaction. A portal that an earlier batch bound may be that of
// any statement.
func (b *batch) fitsStatus(before, after byte) bool {
	if !strings.ContainsRune("ITE", rune(after)) {
		return false
	}
	failed := b.errorForwarded || b.discardRest
	switch {
	case b.unbound:
		return true
	case !b.beginsTx && !b.endsTx && !b.usesSavepoint:
		if failed && before == 'T' {
			before = 'E'
		}
		return after == before
	case failed:
		return before != 'E' || !b.endsTx || b.statementCount > 1
	case b.endsTx:
		return after == 'I' || b.chainsTx && after == 'T' || b.statementCount > 1
	}
	return after == 'T'
}
