package soaker

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"oleanderpulley/platform/imitator"
)

// statement is a statement that a client sent, and the answer that it received.
type statement struct {
	id, text string
	shape    string            // "READ shape" or "WRITE shape" if a prepared statement is executed.
	settings map[string]string // Session values that were acknowledged before. Not changed.
	answered bool              // The answer was complete.
	reply    reply
}

// reply is an answer as the client received it.
type reply struct {
	rows      []string
	signature string
	code      string // Of an error; "" on success.
	state     string // Transaction state of the session.
	outcomes  int    // Number of COMPLETE and ERROR messages.
	rowsAfter bool   // A row came after the outcome.
}

// isSigned reports whether a success of the statement must carry the signature of a
// backend server.
func isSigned(text string) bool {
	word, _, _ := strings.Cut(text, " ")
	return word == "READ" || word == "WRITE" || word == "EXECUTE" || word == "COMMIT"
}

// checkAnswers checks that each success of a read, a write or a commit has the signature
// and exactly the rows of a run of that statement, that no other success has any, and that
// each answer has one outcome.
func (h *history) checkAnswers(runs []imitator.Execution) []string {
	bySignature := map[string]imitator.Execution{}
	for _, run := range runs {
		if run.Signature != "" {
			bySignature[run.Signature] = run
		}
	}
	var broken []string
	for _, s := range h.statements {
		r := s.reply
		run, ran := bySignature[r.signature]
		switch {
		case !s.answered:
		case r.outcomes != 1 || r.rowsAfter:
			broken = append(broken, fmt.Sprintf("mixed: the answer to %s %q has %d outcomes, rows after them: %t", s.id, s.text, r.outcomes, r.rowsAfter))
		case r.code != "":
		case !isSigned(s.text):
			if r.signature != "-" || len(r.rows) > 0 {
				broken = append(broken, fmt.Sprintf("mixed: %s %q was answered with signature %q and rows %q", s.id, s.text, r.signature, r.rows))
			}
		case !ran:
			broken = append(broken, fmt.Sprintf("mixed: %s %q was answered with %q, which is no signature of a run", s.id, s.text, r.signature))
		case run.ID != s.id:
			broken = append(broken, fmt.Sprintf("mixed: %s %q was answered with the run %s of %s", s.id, s.text, r.signature, run.ID))
		case !slices.Equal(r.rows, run.Rows):
			broken = append(broken, fmt.Sprintf("mixed: %s %q got the rows %q, server %s sent %q", s.id, s.text, r.rows, run.Server, run.Rows))
		}
	}
	return broken
}

// checkTexts checks that a client sent each statement that ran, with the same text. Only the
// name of a prepared statement and the prefix AFTER may differ.
func (h *history) checkTexts(runs []imitator.Execution) []string {
	sent := h.sentStatements()
	var broken []string
	for _, run := range runs {
		s, known := sent[run.ID]
		switch {
		case !known:
			broken = append(broken, fmt.Sprintf("unasked: server %s received %s %q, which no client sent", run.Server, run.ID, run.Text))
		case comparableText(run.Text) != comparableText(s.text):
			broken = append(broken, fmt.Sprintf("unasked: server %s received %s %q, its client sent %q", run.Server, run.ID, run.Text, s.text))
		}
	}
	return broken
}

// comparableText removes what the proxy may change of a text.
func comparableText(text string) string {
	if after, found := strings.CutPrefix(text, "AFTER "); found {
		_, text, _ = strings.Cut(after, " ")
	}
	if execution, found := strings.CutPrefix(text, "EXECUTE "); found {
		_, arguments, _ := strings.Cut(execution, " ")
		return "EXECUTE " + arguments
	}
	return text
}

// checkSettings checks that each statement ran with the session values that were
// acknowledged to its client, that each statement of a transaction ran the shape that its
// client prepared, and that no prepared name was unknown. [history.checkShapes] checks the
// shapes of single statements.
func (h *history) checkSettings(runs []imitator.Execution) []string {
	indexes := h.operationIndexes()
	sent := h.sentStatements()
	var broken []string
	for _, run := range runs {
		s, known := sent[run.ID]
		i, counted := indexes[run.ID]
		if known && counted && h.operations[i].isTransaction && run.Shape != s.shape {
			broken = append(broken, fmt.Sprintf("pinned: statement %s of a transaction ran the shape %q on server %s, its client prepared %q",
				run.ID, run.Shape, run.Server, s.shape))
		}
		if known && run.Code == "" && !maps.Equal(run.Settings, s.settings) {
			broken = append(broken, fmt.Sprintf("pinned: statement %s ran with the values %q on server %s, its client set %q",
				run.ID, run.Settings, run.Server, s.settings))
		}
	}
	for _, s := range h.statements {
		if s.answered && s.reply.code == "NOSTMT" {
			broken = append(broken, fmt.Sprintf("pinned: %s %q was answered with NOSTMT, though its client prepared the name", s.id, s.text))
		}
	}
	return broken
}

// checkTransactions checks that a statement of a transaction runs in one, that no other
// operation has a statement in it, and that a transaction is acknowledged only if all of
// its statements ran in the one that was committed. The proxy may run a single read in a
// transaction of its own.
func (h *history) checkTransactions(runs []imitator.Execution) []string {
	indexes := h.operationIndexes()
	owners := map[int]int{} // Operation by transaction.
	ran := map[string][]int{}
	var broken []string
	for _, run := range runs {
		i, known := indexes[run.ID]
		if !known || run.Code != "" {
			continue
		}
		ran[run.ID] = append(ran[run.ID], run.Transaction)
		owner, owned := owners[run.Transaction]
		switch inside := run.Transaction != 0; {
		case !inside && h.operations[i].isTransaction:
			broken = append(broken, fmt.Sprintf("pinned: statement %s %q of a transaction ran outside of one", run.ID, run.Text))
		case inside && owned && owner != i:
			broken = append(broken, fmt.Sprintf("pinned: statement %s %q ran in the transaction of %s", run.ID, run.Text, h.operations[owner].id))
		case inside:
			owners[run.Transaction] = i
		}
	}
	for _, o := range h.operations {
		if !o.isTransaction || o.outcome != acknowledged || len(ran[o.id]) == 0 {
			continue
		}
		for _, id := range o.statementIDs {
			if id != o.beginID && !slices.Contains(ran[id], ran[o.id][0]) {
				broken = append(broken, fmt.Sprintf("pinned: statement %s did not run in the transaction that %s committed", id, o.id))
			}
		}
	}
	return broken
}

// sentStatements returns the statements by their ids.
func (h *history) sentStatements() map[string]statement {
	sent := make(map[string]statement, len(h.statements))
	for _, s := range h.statements {
		sent[s.id] = s
	}
	return sent
}

// operationIndexes returns the index of the operation by the id of each of its statements.
func (h *history) operationIndexes() map[string]int {
	indexes := map[string]int{}
	for i, o := range h.operations {
		for _, id := range o.statementIDs {
			indexes[id] = i
		}
	}
	return indexes
}

// checkKeysAccepted checks that no client was refused that had a key and a database of the
// configuration all the time.
func (h *history) checkKeysAccepted() []string {
	var broken []string
	for _, line := range h.wronglyRefused {
		broken = append(broken, "config: "+line)
	}
	return broken
}

// checkUnanswered checks that each statement that ran was answered.
func (h *history) checkUnanswered(runs []imitator.Execution) []string {
	ran := map[string]string{}
	for _, run := range runs {
		ran[run.ID] = run.Server
	}
	var broken []string
	for _, st := range h.statements {
		if server, hasRun := ran[st.id]; hasRun && !st.answered {
			broken = append(broken, fmt.Sprintf("unanswered: statement %s ran at server %s", st.id, server))
		}
	}
	return broken
}
