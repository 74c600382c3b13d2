package lender

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleanderpulley/internal/protocol/requester"
)

// rememberedSignatures is the number of signatures that a connection remembers.
const rememberedSignatures = 512

// answerLog remembers answers that were received on a connection, to tell a new
// one from one that is received again. The zero value is empty.
type answerLog struct {
	signatures []uint64 // Hashes of the last signatures, a ring once it is full.
	contents   []uint64 // Hashes of the whole answers, in the same order.
	next       int      // Index of the oldest entry of the full ring.
}

// find returns the hash of the whole answer that had the signature.
func (l *answerLog) find(signature uint64) (content uint64, ok bool) {
	i := slices.Index(l.signatures, signature)
	if i < 0 {
		return 0, false
	}
	return l.contents[i], true
}

// add remembers an answer by the hashes of its signature and of its content.
func (l *answerLog) add(signature, content uint64) {
	if len(l.signatures) < rememberedSignatures {
		l.signatures = append(l.signatures, signature)
		l.contents = append(l.contents, content)
		return
	}
	l.signatures[l.next], l.contents[l.next] = signature, content
	l.next = (l.next + 1) % rememberedSignatures
}

// contentHash returns a hash of the rows and the signature of an answer.
func contentHash(r requester.Result, signature uint64) uint64 {
	const prime = 0x9e3779b97f4a7c15
	hash := signature + uint64(len(r.Rows))
	for _, row := range r.Rows {
		hash = (hash ^ xxhash.Sum64String(row)) * prime
	}
	return hash
}

// verdict is what an answer is to the oldest unanswered statement.
type verdict int

const (
	expected  verdict = iota // Its answer, as far as can be told.
	repeated                 // Received before, for an earlier statement.
	outOfStep                // The answer to another statement.
)

// judge returns what the answer is, and remembers it if it is expected.
func (l *answerLog) judge(r requester.Result) verdict {
	if r.Code != requester.OK || !isSigned(r) {
		return expected
	}
	signature := xxhash.Sum64String(r.Signature)
	content := contentHash(r, signature)
	known, ok := l.find(signature)
	switch {
	case !ok:
		l.add(signature, content)
		return expected
	case known == content:
		return repeated
	default:
		return outOfStep
	}
}

// isSigned reports whether the answer has a signature.
func isSigned(r requester.Result) bool {
	return r.Signature != "" && r.Signature != "-"
}
