package lender

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleanderpulley/internal/protocol/requester"
)

const (
	// maxSignatures is the number of signatures after which a connection is closed once it
	// is returned. They take at most 0.3 MB.
	maxSignatures = 4096
	// rememberedRows is the number of answers with rows that a connection remembers.
	rememberedRows = 16
)

// answerLog remembers answers that were received on a connection, to tell a new
// one from one that is received again. The zero value is empty.
//
// No signature is forgotten, since nothing bounds how late an answer is sent again, and
// one that is not known shifts all answers after it. A connection is closed instead once
// it has many.
type answerLog struct {
	// contents are the hashes of the whole answers by those of their signatures; noContent
	// for statements that need no signature.
	contents map[uint64]uint64

	state    requester.TransactionState   // In the last expected answer; 0 if there was none.
	unsigned []requester.TransactionState // The different states in unsigned answers without rows.
	rows     []rowHashes                  // Of the last answers with rows, a ring once it is full.
	nextRows int                          // Index of the oldest entry of the full ring.
	lastRows rowHashes                    // Of the last answer with rows.
}

// rowHashes are hashes of the rows of an answer.
type rowHashes struct {
	first, all uint64
}

// noContent is the entry for a signature of a statement that needs none. Such a
// signature may be given again.
const noContent = 0

// findSignature returns the hash of the whole answer that had the signature.
func (l *answerLog) findSignature(signature uint64) (content uint64, ok bool) {
	content, ok = l.contents[signature]
	return content, ok
}

// addSignature remembers an answer by the hashes of its signature and of its content.
func (l *answerLog) addSignature(signature, content uint64) {
	if l.contents == nil {
		l.contents = map[uint64]uint64{}
	}
	l.contents[signature] = content
}

// isFull reports whether the connection must not be lent again.
func (l *answerLog) isFull() bool {
	return len(l.contents) >= maxSignatures
}

// rowsHash returns a hash of the rows that depends on the seed. It is not 0.
func rowsHash(seed uint64, rows []string) uint64 {
	const prime = 0x9e3779b97f4a7c15
	hash := seed + uint64(len(rows))
	for _, row := range rows {
		hash = (hash ^ xxhash.Sum64String(row)) * prime
	}
	return max(hash, 1)
}

// verdict is what an answer is to the oldest unanswered statement.
type verdict int

const (
	expected       verdict = iota // Its answer, as far as can be told.
	repeated                      // Received before, for an earlier statement.
	outOfStep                     // The answer to another statement.
	ambiguous                     // Its answer, or rows of the answer before it and its own.
	ambiguousOlder                // Its answer, or rows of an older answer and its own.
)

// judge returns what the answer is to a statement of the kind, and remembers it if it
// is expected.
func (l *answerLog) judge(k requester.Kind, r requester.Result) verdict {
	v := expected
	switch {
	case r.Code != requester.OK:
	case needsSignature(k):
		v = l.judgeSigned(k, r)
	default:
		v = l.judgeUnsigned(k, r)
	}
	if v == expected || v == ambiguous || v == ambiguousOlder {
		l.state = r.State
	}
	return v
}

// judgeSigned judges the success of a statement that has to be signed.
func (l *answerLog) judgeSigned(k requester.Kind, r requester.Result) verdict {
	if !isSigned(r) {
		return l.repeatedOr(outOfStep, r)
	}
	signature := xxhash.Sum64String(r.Signature)
	content := rowsHash(signature, r.Rows)
	known, ok := l.findSignature(signature)
	switch {
	case !ok:
		l.addSignature(signature, content)
		return l.judgeRows(k, r.Rows)
	case known == content:
		return repeated
	case known == noContent:
		return l.repeatedOr(outOfStep, r)
	default:
		return outOfStep
	}
}

// judgeRows judges the rows of an answer with a new signature, and remembers them. An
// answer that is sent again may be cut off after some rows, which then come before those
// of the next answer: the first row is the same, and others differ. WRITE and COMMIT
// have no rows of their own.
func (l *answerLog) judgeRows(k requester.Kind, rows []string) verdict {
	if len(rows) == 0 {
		return expected
	}
	h := rowHashes{xxhash.Sum64String(rows[0]), rowsHash(0, rows)}
	last := l.lastRows
	isKnown := slices.ContainsFunc(l.rows, func(other rowHashes) bool { return other.first == h.first })
	isSame := slices.Contains(l.rows, h)
	l.addRows(h)
	switch {
	case isKnown && (k == requester.Write || k == requester.Commit):
		return outOfStep
	case !isKnown || isSame || len(rows) == 1:
		return expected
	case last.first == h.first:
		return ambiguous
	default:
		return ambiguousOlder
	}
}

// addRows remembers the rows of an answer.
func (l *answerLog) addRows(h rowHashes) {
	l.lastRows = h
	switch {
	case slices.Contains(l.rows, h):
	case len(l.rows) < rememberedRows:
		l.rows = append(l.rows, h)
	default:
		l.rows[l.nextRows] = h
		l.nextRows = (l.nextRows + 1) % rememberedRows
	}
}

// judgeUnsigned judges the success of a statement that needs no signature. Its
// transaction state has to be the one that the statement leads to. A signature that
// no signed answer had says nothing.
func (l *answerLog) judgeUnsigned(k requester.Kind, r requester.Result) verdict {
	if isSigned(r) {
		signature := xxhash.Sum64String(r.Signature)
		switch known, ok := l.findSignature(signature); {
		case !ok:
			l.addSignature(signature, noContent)
		case known == rowsHash(signature, r.Rows):
			return repeated
		case known != noContent:
			return outOfStep
		}
	}
	if r.State != l.stateAfter(k) || len(r.Rows) != unsignedRowCount(k) {
		return l.repeatedOr(outOfStep, r)
	}
	if len(r.Rows) == 0 && !slices.Contains(l.unsigned, r.State) {
		l.unsigned = append(l.unsigned, r.State)
	}
	return expected
}

// repeatedOr returns repeated if an equal answer to a statement that needs no
// signature was received before, otherwise v.
func (l *answerLog) repeatedOr(v verdict, r requester.Result) verdict {
	if len(r.Rows) == 0 && slices.Contains(l.unsigned, r.State) {
		return repeated
	}
	return v
}

// stateAfter returns the transaction state to which the success of a statement of
// the kind leads.
func (l *answerLog) stateAfter(k requester.Kind) requester.TransactionState {
	switch k {
	case requester.Begin, requester.BeginReadOnly:
		return requester.InTransaction
	case requester.Commit, requester.Rollback:
		return requester.Idle
	default:
		return cmp.Or(l.state, requester.Idle)
	}
}

// inTransaction reports whether the last answer showed an open transaction.
func (l *answerLog) inTransaction() bool {
	return l.state != 0 && l.state != requester.Idle
}

// unsignedRowCount returns the number of rows of the answer to a statement that needs no
// signature.
func unsignedRowCount(k requester.Kind) int {
	if k == requester.Status || k == requester.StepDown {
		return 1
	}
	return 0
}

// needsSignature reports whether the backend server signs the success of a
// statement of the kind.
func needsSignature(k requester.Kind) bool {
	switch k {
	case requester.Read, requester.Write, requester.Execute, requester.Commit:
		return true
	default:
		return false
	}
}

// isSigned reports whether the answer has a signature.
func isSigned(r requester.Result) bool {
	return r.Signature != "" && r.Signature != "-"
}
