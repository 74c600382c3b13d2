package soaker

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"oleanderpulley/platform/imitator"
)

// Bounds that the user documentation promises, and tolerances of their checks.
const (
	withdrawalDelay = 5 * time.Second // Time within which a withdrawn key stops working.
	rateWindow      = 5 * time.Second
	rateTolerance   = 1.1 // Factor on the rate and burst of a workspace.
	rateSlack       = 20  // Operations beyond that.
)

// check compares the answers that clients received with the statements that the
// backend servers ran, and returns the counts and the broken promises.
func (h *history) check(e *environment) Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	runs, commits := e.group.Executions(), e.group.Commits()
	r := Report{Operations: len(h.operations), Repeats: int(e.repeats.Load())}
	for _, o := range h.operations {
		switch o.outcome {
		case acknowledged:
			r.Served++
		case unknown:
			r.Unknown++
		case refused:
		}
	}
	r.Broken = append(r.Broken, h.checkWrites(commits)...)
	r.Broken = append(r.Broken, h.checkPrimaries(commits)...)
	r.Broken = append(r.Broken, checkTokens(e.store.Promotions())...)
	r.Broken = append(r.Broken, h.checkKeys(runs, e.withdrawn)...)
	r.Broken = append(r.Broken, h.checkShapes(runs)...)
	r.Broken = append(r.Broken, h.checkAnswers(runs)...)
	r.Broken = append(r.Broken, h.checkTexts(runs)...)
	r.Broken = append(r.Broken, h.checkSettings(runs)...)
	r.Broken = append(r.Broken, h.checkTransactions(runs)...)
	r.Broken = append(r.Broken, h.checkKeysAccepted()...)
	r.Broken = append(r.Broken, h.checkReads(runs, commits)...)
	r.Broken = append(r.Broken, h.checkRates(runs)...)
	if e.soak.syncReplicas() > 0 {
		r.Broken = append(r.Broken, h.checkDiscarded(commits)...)
	}
	if e.soak.Fault == stopFault {
		r.Broken = append(r.Broken, h.checkUnanswered(runs)...)
	}
	if e.soak.slowsInstances() {
		r.Broken = append(r.Broken, h.checkGivenUp(e.freezes)...)
	}
	return r
}

// checkWrites checks that each acknowledged write is committed once, that no write
// refused with a code of refusalCodes is committed, and that none is committed
// twice.
func (h *history) checkWrites(commits []imitator.Commit) []string {
	commitCounts := map[string]int{}
	for _, c := range commits {
		for _, id := range c.IDs {
			commitCounts[id]++
		}
	}
	var broken []string
	for _, o := range h.operations {
		for _, id := range o.writeIDs {
			switch n := commitCounts[id]; {
			case n > 1:
				broken = append(broken, fmt.Sprintf("twice: write %s was committed %d times", id, n))
			case o.outcome == acknowledged && n == 0:
				broken = append(broken, fmt.Sprintf("lost: write %s was acknowledged but never committed", id))
			case o.outcome == refused && n > 0:
				broken = append(broken, fmt.Sprintf("refused: write %s was committed although the client received %s", id, o.code))
			}
		}
	}
	return broken
}

// checkPrimaries checks that no write is acknowledged that a primary committed
// after another had been promoted.
func (h *history) checkPrimaries(commits []imitator.Commit) []string {
	byWrite := map[string]operation{}
	for _, o := range h.operations {
		for _, id := range o.writeIDs {
			byWrite[id] = o
		}
	}
	var broken []string
	for _, c := range commits {
		for _, id := range c.IDs {
			if o, ok := byWrite[id]; ok && c.Replaced && o.outcome == acknowledged {
				broken = append(broken, fmt.Sprintf("one: write %s was acknowledged, though a replaced primary committed it", id))
			}
		}
	}
	return broken
}

// checkTokens checks that the fencing tokens of promotions never fall and that no
// two instances use the same one.
func checkTokens(promotions []imitator.Promotion) []string {
	var broken []string
	holders := map[uint64]string{}
	highest := uint64(0)
	for _, p := range promotions {
		if p.Token < highest {
			broken = append(broken, fmt.Sprintf("token: %s used %d after %d", p.Holder, p.Token, highest))
		}
		if holder, used := holders[p.Token]; used && holder != p.Holder {
			broken = append(broken, fmt.Sprintf("token: %d was used by %s and %s", p.Token, holder, p.Holder))
		}
		highest, holders[p.Token] = max(highest, p.Token), p.Holder
	}
	return broken
}

// checkKeys checks that each statement runs in the workspace of its key, and that
// none runs that was sent more than withdrawalDelay after its key was withdrawn.
func (h *history) checkKeys(runs []imitator.Execution, withdrawn map[string]time.Time) []string {
	byID := h.byID()
	var broken []string
	for _, run := range runs {
		o, ok := byID[run.ID]
		if !ok {
			continue // A statement of a transaction other than its last one.
		}
		if run.Workspace != o.workspace {
			broken = append(broken, fmt.Sprintf("key: statement %s of workspace %s ran for workspace %s", run.ID, o.workspace, run.Workspace))
		}
		if at, isWithdrawn := withdrawn[o.key]; isWithdrawn && o.sent.After(at.Add(withdrawalDelay)) {
			broken = append(broken, fmt.Sprintf("key: statement %s ran although it was sent %v after key %s was withdrawn", run.ID, o.sent.Sub(at), o.key))
		}
	}
	return broken
}

// checkShapes checks that each execution of a prepared statement ran the shape that
// its client prepared.
func (h *history) checkShapes(runs []imitator.Execution) []string {
	byID := h.byID()
	var broken []string
	for _, run := range runs {
		if o, ok := byID[run.ID]; ok && run.Shape != o.shape {
			broken = append(broken, fmt.Sprintf("pinned: statement %s ran the shape %q on server %s, its client prepared %q",
				run.ID, run.Shape, run.Server, o.shape))
		}
	}
	return broken
}

func (h *history) byID() map[string]operation {
	byID := make(map[string]operation, len(h.operations))
	for _, o := range h.operations {
		byID[o.id] = o
	}
	return byID
}

// checkReads checks that each read outside of a transaction runs on a log with every
// commit that was acknowledged before the time of [operation.mustReflect]. On the
// route read_own_writes, the log must also have the last write of the session.
func (h *history) checkReads(runs []imitator.Execution, commits []imitator.Commit) []string {
	commitNumbers, terms := map[string]uint64{}, map[uint64]uint64{}
	for _, c := range commits {
		for _, id := range c.IDs {
			if !c.Discarded {
				commitNumbers[id], terms[c.Number] = c.Number, c.Term
			}
		}
	}
	acks := h.acknowledgements(commitNumbers)
	byID := h.byID()
	var broken []string
	for _, run := range runs {
		o, ok := byID[run.ID]
		isRead := strings.HasPrefix(comparableText(run.Text), "READ ") || strings.HasPrefix(run.Shape, "READ ")
		if !ok || run.Code != "" || !isRead || len(o.writeIDs) > 0 || o.outcome != acknowledged {
			continue
		}
		required := acks.highestBefore(o.mustReflect())
		if o.database == "read_own_writes" {
			required = max(required, commitNumbers[o.lastWrite])
		}
		if run.Received < required || run.Term < terms[required] {
			broken = append(broken, fmt.Sprintf("stale: read %s on route %s ran at server %s after commit %d of term %d, required is commit %d of term %d",
				run.ID, o.database, run.Server, run.Received, run.Term, required, terms[required]))
		}
	}
	return broken
}

// mustReflect returns the time before which every acknowledged commit must be visible
// to the read: its start, less the staleness bound except on the route primary.
func (o operation) mustReflect() time.Time {
	if o.database == "primary" {
		return o.sent
	}
	return o.sent.Add(-maxStaleness)
}

// acknowledgements are ordered by time. Each has the highest commit number that was
// acknowledged up to its time.
type acknowledgements []acknowledgement

type acknowledgement struct {
	at     time.Time
	number uint64
}

func (h *history) acknowledgements(numbers map[string]uint64) acknowledgements {
	var all acknowledgements
	for _, o := range h.operations {
		if o.outcome == acknowledged && len(o.writeIDs) > 0 && numbers[o.writeIDs[0]] > 0 {
			all = append(all, acknowledgement{o.answered, numbers[o.writeIDs[0]]})
		}
	}
	slices.SortFunc(all, func(a, b acknowledgement) int { return a.at.Compare(b.at) })
	for i := 1; i < len(all); i++ {
		all[i].number = max(all[i].number, all[i-1].number)
	}
	return all
}

// highestBefore returns the highest commit number that was acknowledged before t, or
// 0 if there is none.
func (a acknowledgements) highestBefore(t time.Time) uint64 {
	i, _ := slices.BinarySearchFunc(a, t, func(e acknowledgement, t time.Time) int { return e.at.Compare(t) })
	if i == 0 {
		return 0
	}
	return a[i-1].number
}

// checkRates checks that no workspace has more operations in a window than its
// rate and burst allow. As the user documentation defines it, an operation counts
// for a window if it was both sent and run within it. An operation runs when its
// first successful statement runs.
func (h *history) checkRates(runs []imitator.Execution) []string {
	operations := map[string]int{} // Index of the operation by statement id.
	for i, o := range h.operations {
		for _, id := range o.statementIDs {
			operations[id] = i
		}
	}
	counted := map[int]bool{}
	byWorkspace := map[string][]interval{}
	for _, run := range runs {
		i, known := operations[run.ID]
		if run.Code == "" && known && !counted[i] {
			counted[i] = true
			byWorkspace[run.Workspace] = append(byWorkspace[run.Workspace], interval{h.operations[i].sent, run.At, h.operations[i].instance})
		}
	}
	var broken []string
	for workspace, all := range byWorkspace {
		if most, limit := busiestWindow(all), maxOperationsInWindow(workspace); len(most) > limit {
			broken = append(broken, fmt.Sprintf("rate: %d operations of workspace %s were sent and ran within %v from %s, the limit is %d; by instance and second: %v",
				len(most), workspace, rateWindow, most[0].sent.UTC().Format(time.TimeOnly), limit, countBySecond(most)))
		}
	}
	return broken
}

// interval is the time from sending an operation to running its first statement.
type interval struct {
	sent, ran time.Time
	instance  string
}

// busiestWindow returns the operations of the window with the most operations.
func busiestWindow(all []interval) []interval {
	slices.SortFunc(all, func(a, b interval) int { return a.sent.Compare(b.sent) })
	var most []interval
	for i := range all {
		end := all[i].sent.Add(rateWindow)
		var inside []interval
		for _, o := range all[i:] {
			if o.sent.After(end) {
				break
			}
			if !o.ran.After(end) {
				inside = append(inside, o)
			}
		}
		if len(inside) > len(most) {
			most = inside
		}
	}
	return most
}

// countBySecond counts the operations of a window by instance and second.
func countBySecond(window []interval) map[string][]int {
	counts := map[string][]int{}
	for _, o := range window {
		if counts[o.instance] == nil {
			counts[o.instance] = make([]int, int(rateWindow/time.Second)+1)
		}
		counts[o.instance][int(o.ran.Sub(window[0].sent)/time.Second)]++
	}
	return counts
}

// maxOperationsInWindow returns the limit of checkRates for the workspace.
func maxOperationsInWindow(workspace string) int {
	rate := float64(workspaceRates[workspace])
	return int((rate*rateWindow.Seconds()+rate)*rateTolerance + rateSlack)
}
