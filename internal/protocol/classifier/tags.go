package classifier

import "bytes"

// Tags is a set of command tags, by their first word.
type Tags uint32

// AnyTag contains all command tags.
const AnyTag = ^Tags(0)

const (
	tagSelect Tags = 1 << iota
	tagInsert
	tagUpdate
	tagDelete
	tagMerge
	tagCopy
	tagBegin
	tagStart
	tagCommit
	tagRollback
	tagPrepare
	tagSavepoint
	tagRelease
	tagDeclare
	tagFetch
	tagMove
	tagClose
	tagSet
	tagReset
	tagShow
	tagDiscard
	tagDeallocate
	tagListen
	tagUnlisten
	tagNotify
	tagExplain
	tagCreate
	tagOther // Any other word.
)

var tagsByWord = map[string]Tags{
	"SELECT": tagSelect, "INSERT": tagInsert, "UPDATE": tagUpdate, "DELETE": tagDelete, "MERGE": tagMerge,
	"COPY": tagCopy, "BEGIN": tagBegin, "START": tagStart, "COMMIT": tagCommit, "ROLLBACK": tagRollback,
	"PREPARE": tagPrepare, "SAVEPOINT": tagSavepoint, "RELEASE": tagRelease, "DECLARE": tagDeclare,
	"FETCH": tagFetch, "MOVE": tagMove, "CLOSE": tagClose, "SET": tagSet, "RESET": tagReset, "SHOW": tagShow,
	"DISCARD": tagDiscard, "DEALLOCATE": tagDeallocate, "LISTEN": tagListen, "UNLISTEN": tagUnlisten,
	"NOTIFY": tagNotify, "EXPLAIN": tagExplain, "CREATE": tagCreate,
}

// tagsByKeyword lists the first words of statements whose tags do not start with
// the same word alone. COMMIT and PREPARE TRANSACTION report ROLLBACK in a failed
// transaction, CREATE TABLE AS reports SELECT.
var tagsByKeyword = map[string]Tags{
	"VALUES": tagSelect, "TABLE": tagSelect, "(": tagSelect,
	"WITH":    tagSelect | tagInsert | tagUpdate | tagDelete | tagMerge,
	"BEGIN":   tagBegin | tagStart,
	"START":   tagBegin | tagStart,
	"COMMIT":  tagCommit | tagRollback,
	"END":     tagCommit | tagRollback,
	"ABORT":   tagRollback,
	"PREPARE": tagPrepare | tagRollback,
	"CREATE":  tagCreate | tagSelect,
	"EXECUTE": AnyTag,
}

// Contain reports whether the set contains the command tag.
func (ts Tags) Contain(tag []byte) bool {
	word, _, _ := bytes.Cut(tag, []byte(" "))
	t, known := tagsByWord[string(word)]
	if !known {
		t = tagOther
	}
	return ts&t != 0
}

// tagsOf returns the tags with which a server may complete a statement that starts
// with the token.
func tagsOf(first token) Tags {
	var upper [16]byte
	if len(first.text) > len(upper) {
		return tagOther
	}
	for i, c := range first.text {
		if c >= 'a' && c <= 'z' {
			c -= 'a' - 'A'
		}
		upper[i] = c
	}
	word := upper[:len(first.text)]
	if t, ok := tagsByKeyword[string(word)]; ok {
		return t
	}
	if t, ok := tagsByWord[string(word)]; ok {
		return t
	}
	return tagOther
}
