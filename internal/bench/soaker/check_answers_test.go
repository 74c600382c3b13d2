package soaker

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/platform/imitator"
)

// answersHistory is a history that keeps every promise: a read, a write and a transaction.
func answersHistory() (*history, []imitator.Execution) {
	set := map[string]string{"v": "yl\r"}
	signed := func(id, text, signature string, rows ...string) statement {
		return statement{id: id, text: text, settings: set, answered: true, reply: reply{signature: signature, rows: rows, outcomes: 1}}
	}
	h := &history{
		operations: []operation{
			{id: "r", statementIDs: []string{"r"}, outcome: acknowledged},
			{id: "w", statementIDs: []string{"w"}},
			{id: "c", beginID: "b", isTransaction: true, statementIDs: []string{"b", "t", "c"}, outcome: acknowledged},
		},
		statements: []statement{
			signed("s", "SET v yl\r", "-"), signed("r", "READ x", "sig.1", "one\r", ""), signed("w", "EXECUTE s2 x y\r", "sig.2"),
			signed("b", "BEGIN", "-"), signed("t", "EXECUTE s2 x y\n", "sig.3"), signed("c", "COMMIT", "sig.4"),
		},
	}
	h.statements[4].shape = "WRITE q\r"
	return h, []imitator.Execution{
		{ID: "r", Text: "AFTER 1.2 READ x", Signature: "sig.1", Rows: []string{"one\r", ""}, Settings: set, Transaction: 4},
		{ID: "w", Text: "EXECUTE p7 x y\r", Signature: "sig.2", Settings: set},
		{ID: "t", Text: "EXECUTE p8 x y\n", Shape: "WRITE q\r", Signature: "sig.3", Settings: set, Transaction: 5},
		{ID: "c", Text: "COMMIT", Signature: "sig.4", Settings: set, Transaction: 5},
	}
}

func (h *history) checkAllAnswers(runs []imitator.Execution) []string {
	broken := append(h.checkAnswers(runs), h.checkTexts(runs)...)
	broken = append(broken, h.checkSettings(runs)...)
	return append(broken, h.checkTransactions(runs)...)
}

// Guards against a check that cannot fail, and one that reports a promise that was kept:
// each change of the history breaks one.
func TestAnswerChecksReportBrokenPromises(t *testing.T) {
	h, runs := answersHistory()
	qt.Assert(t, h.checkAllAnswers(runs), qt.HasLen, 0)
	for name, test := range map[string]struct {
		change func(h *history, runs []imitator.Execution)
		want   string
	}{
		"signature of another statement": {func(h *history, _ []imitator.Execution) { h.statements[2].reply.signature = "sig.3" }, "mixed"},
		"no signature":                   {func(h *history, _ []imitator.Execution) { h.statements[1].reply.signature = "-" }, "mixed"},
		"invented signature":             {func(h *history, _ []imitator.Execution) { h.statements[2].reply.signature = "sig.9" }, "mixed"},
		"signature of none":              {func(h *history, _ []imitator.Execution) { h.statements[0].reply.signature = "sig.9" }, "mixed"},
		"other row":                      {func(h *history, _ []imitator.Execution) { h.statements[1].reply.rows[0] = "one" }, "mixed"},
		"row lost":                       {func(_ *history, r []imitator.Execution) { r[0].Rows = append(r[0].Rows, "two") }, "mixed"},
		"row of BEGIN":                   {func(h *history, _ []imitator.Execution) { h.statements[3].reply.rows = []string{"one"} }, "mixed"},
		"two outcomes":                   {func(h *history, _ []imitator.Execution) { h.statements[1].reply.outcomes = 2 }, "mixed"},
		"row after the outcome":          {func(h *history, _ []imitator.Execution) { h.statements[1].reply.rowsAfter = true }, "mixed"},
		"text cut":                       {func(_ *history, r []imitator.Execution) { r[1].Text = "EXECUTE p7 x y" }, "unasked"},
		"text of another kind":           {func(_ *history, r []imitator.Execution) { r[2].Text = "READ x y\n" }, "unasked"},
		"smuggled": {func(h *history, _ []imitator.Execution) {
			h.statements = h.statements[:5]
			h.operations[2].outcome = unknown
		}, "unasked"},
		"value cut":                   {func(_ *history, r []imitator.Execution) { r[1].Settings = map[string]string{"v": "yl"} }, "pinned"},
		"value of another session":    {func(_ *history, r []imitator.Execution) { r[1].Settings = map[string]string{"v": "yl\r", "w": "1"} }, "pinned"},
		"shape cut":                   {func(_ *history, r []imitator.Execution) { r[2].Shape = "WRITE q" }, "pinned"},
		"unknown name":                {func(h *history, _ []imitator.Execution) { h.statements[2].reply.code = "NOSTMT" }, "pinned"},
		"outside of its transaction":  {func(h *history, r []imitator.Execution) { r[2].Transaction = 0; h.operations[2].outcome = unknown }, "pinned"},
		"other transaction committed": {func(_ *history, r []imitator.Execution) { r[2].Transaction = 6 }, "pinned"},
		"inside another transaction":  {func(_ *history, r []imitator.Execution) { r[0].Transaction = 5 }, "pinned"},
	} {
		t.Run(name, func(t *testing.T) {
			h, runs := answersHistory()
			test.change(h, runs)
			broken := h.checkAllAnswers(runs)
			qt.Assert(t, len(broken) > 0, qt.IsTrue)
			for _, line := range broken {
				qt.Assert(t, strings.HasPrefix(line, test.want+":"), qt.IsTrue, qt.Commentf("%s", line))
			}
		})
	}
}

// Guards against false reports: an error, a missing answer and a run that was refused
// break nothing.
func TestAnswerChecksAcceptErrors(t *testing.T) {
	h, runs := answersHistory()
	h.statements[2].reply = reply{code: "BUSY", outcomes: 1}
	h.statements[1].answered, h.statements[1].reply = false, reply{rows: []string{"on"}}
	runs = append(runs, imitator.Execution{ID: "t", Text: "EXECUTE p9 x y\n", Shape: "WRITE q\r", Code: "BUSY"})
	qt.Assert(t, h.checkAllAnswers(runs), qt.HasLen, 0)
}

// Guards against texts that a message cannot hold, which would break promises by
// themselves, and against texts beside an older build that it changes.
func TestOddTexts(t *testing.T) {
	for _, text := range oddTexts {
		text = strings.ReplaceAll(text, "WORD", "w")
		qt.Assert(t, strings.Contains(text, "\r\n"), qt.IsFalse, qt.Commentf("%q", text))
	}
	old := Soak{OldProgram: "old"}
	qt.Assert(t, len(old.texts(oddTexts)) >= 8, qt.IsTrue)
	qt.Assert(t, Soak{}.texts(oddTexts), qt.HasLen, len(oddTexts))
	for _, text := range []string{"a\r", "a\nb", "a\xff"} {
		qt.Assert(t, isCarriedByOldBuilds(text), qt.IsFalse, qt.Commentf("%q", text))
	}
}
