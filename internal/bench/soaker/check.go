package soaker

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"oleanderpulley/platform/imitator"
)

// Bounds that the users' pages state.
const (
	withdrawal  = 5 * time.Second // A withdrawn key stops working within it.
	quotaWindow = 5 * time.Second
	quotaOver   = 1.1
	quotaSlack  = 20
)

// check compares what callers were told with what the servers ran.
func (h *history) check(w *world) Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	runs, commits := w.group.Runs(), w.group.Commits()
	r := Report{Operations: len(h.all)}
	for _, o := range h.all {
		switch o.outcome {
		case acknowledged:
			r.Served++
		case unknown:
			r.Unknown++
		case refused:
		}
	}
	r.Broken = append(r.Broken, h.checkWrites(commits)...)
	r.Broken = append(r.Broken, h.checkKeys(runs, w.withdrawn)...)
	r.Broken = append(r.Broken, h.checkReads(runs, commits)...)
	r.Broken = append(r.Broken, checkRates(runs)...)
	r.Broken = append(r.Broken, h.checkEnd()...)
	return r
}

// checkWrites: an acknowledged write is committed once, one that was refused
// with a promise is not, and none is committed twice.
func (h *history) checkWrites(commits []imitator.Commit) []string {
	times := map[string]int{}
	for _, c := range commits {
		for _, id := range c.IDs {
			times[id]++
		}
	}
	var broken []string
	for _, o := range h.all {
		for _, id := range o.writes {
			switch n := times[id]; {
			case n > 1:
				broken = append(broken, fmt.Sprintf("twice: write %s was committed %d times", id, n))
			case o.outcome == acknowledged && n == 0:
				broken = append(broken, fmt.Sprintf("lost: write %s was acknowledged and never committed", id))
			case o.outcome == refused && n > 0:
				broken = append(broken, fmt.Sprintf("refused: write %s was committed though the caller was told %s", id, o.code))
			}
		}
	}
	return broken
}

// checkKeys: a statement runs for the workspace of its key, and not at all if
// it was sent too long after its key was withdrawn.
func (h *history) checkKeys(runs []imitator.Run, withdrawn map[string]time.Time) []string {
	byID := h.byID()
	var broken []string
	for _, run := range runs {
		o, ok := byID[run.ID]
		if !ok {
			continue // A statement of a transaction before its last one.
		}
		if run.Workspace != o.workspace {
			broken = append(broken, fmt.Sprintf("key: %s of %s ran for %s", run.ID, o.workspace, run.Workspace))
		}
		if at, gone := withdrawn[o.key]; gone && o.sent.After(at.Add(withdrawal)) {
			broken = append(broken, fmt.Sprintf("key: %s ran %v after its key was withdrawn", run.ID, o.sent.Sub(at)))
		}
	}
	return broken
}

func (h *history) byID() map[string]operation {
	byID := make(map[string]operation, len(h.all))
	for _, o := range h.all {
		byID[o.id] = o
	}
	return byID
}

// checkReads: a single read runs on a log that holds every commit that was
// acknowledged longer before it than its route accepts.
func (h *history) checkReads(runs []imitator.Run, commits []imitator.Commit) []string {
	numbers := map[string]uint64{}
	for _, c := range commits {
		for _, id := range c.IDs {
			if !c.Dropped {
				numbers[id] = c.Number
			}
		}
	}
	type ack struct {
		at     time.Time
		number uint64
	}
	var acks []ack
	for _, o := range h.all {
		if o.outcome == acknowledged && len(o.writes) > 0 && numbers[o.writes[0]] > 0 {
			acks = append(acks, ack{o.answered, numbers[o.writes[0]]})
		}
	}
	slices.SortFunc(acks, func(a, b ack) int { return a.at.Compare(b.at) })
	highest := make([]uint64, len(acks)) // Of the acknowledgements so far.
	for i, a := range acks {
		highest[i] = a.number
		if i > 0 {
			highest[i] = max(highest[i], highest[i-1])
		}
	}
	byID := h.byID()
	var broken []string
	for _, run := range runs {
		o, ok := byID[run.ID]
		if !ok || run.Code != "" || !strings.HasSuffix(run.Text, "READ item") || len(o.writes) > 0 || o.outcome != acknowledged {
			continue
		}
		since := o.sent
		if o.database != "primary" {
			since = since.Add(-staleness)
		}
		i, _ := slices.BinarySearchFunc(acks, since, func(a ack, t time.Time) int { return a.at.Compare(t) })
		if i > 0 && run.Received < highest[i-1] {
			broken = append(broken, fmt.Sprintf("stale: %s on %s ran at %s on %d, acknowledged were %d",
				run.ID, o.database, run.Server, run.Received, highest[i-1]))
		}
	}
	return broken
}

// checkRates: no workspace runs more in a window than its rate and burst allow.
func checkRates(runs []imitator.Run) []string {
	limit := int((rate*quotaWindow.Seconds()+rate)*quotaOver + quotaSlack)
	times := map[string][]time.Time{}
	for _, run := range runs {
		if run.Code == "" && !strings.HasSuffix(run.Text, "COMMIT") {
			times[run.Workspace] = append(times[run.Workspace], run.At)
		}
	}
	var broken []string
	for workspace, all := range times {
		first, most := 0, 0
		for i, t := range all {
			for t.Sub(all[first]) > quotaWindow {
				first++
			}
			most = max(most, i-first+1)
		}
		if most > limit*3 { // A transaction runs three statements for one operation.
			broken = append(broken, fmt.Sprintf("rate: %d statements of %s ran in %v", most, workspace, quotaWindow))
		}
	}
	return broken
}

// checkEnd: callers are served again once the faults are over.
func (h *history) checkEnd() []string {
	if len(h.all) == 0 {
		return []string{"end: no operation was sent"}
	}
	last := h.all[len(h.all)-1].answered.Add(-settle / 3)
	served, all := 0, 0
	for _, o := range h.all {
		if o.sent.Before(last) || o.key == "key-old" {
			continue
		}
		all++
		if o.outcome == acknowledged {
			served++
		}
	}
	if float64(served) < servedAtEnd*float64(all) || all == 0 {
		return []string{fmt.Sprintf("end: %d of %d operations are served after the faults", served, all)}
	}
	return nil
}
