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
	r.Broken = append(r.Broken, h.checkRates(runs)...)
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
// acknowledged longer before it than its route accepts, and where the route says
// so every one of its session.
func (h *history) checkReads(runs []imitator.Run, commits []imitator.Commit) []string {
	numbers := map[string]uint64{}
	for _, c := range commits {
		for _, id := range c.IDs {
			if !c.Discarded {
				numbers[id] = c.Number
			}
		}
	}
	acks := h.acks(numbers)
	byID := h.byID()
	var broken []string
	for _, run := range runs {
		o, ok := byID[run.ID]
		if !ok || run.Code != "" || !strings.HasSuffix(run.Text, "READ item") || len(o.writes) > 0 || o.outcome != acknowledged {
			continue
		}
		needs := acks.before(o.since())
		if o.database == "read_own_writes" {
			needs = max(needs, numbers[o.after])
		}
		if run.Received < needs {
			broken = append(broken, fmt.Sprintf("stale: %s on %s ran at %s on %d, acknowledged were %d",
				run.ID, o.database, run.Server, run.Received, needs))
		}
	}
	return broken
}

// since is the time up to which the read must find everything acknowledged.
func (o operation) since() time.Time {
	if o.database == "primary" {
		return o.sent
	}
	return o.sent.Add(-staleness)
}

// acks are the acknowledgements of commits in their order, each with the highest
// number so far.
type acks []ack

type ack struct {
	at     time.Time
	number uint64
}

func (h *history) acks(numbers map[string]uint64) acks {
	var all acks
	for _, o := range h.all {
		if o.outcome == acknowledged && len(o.writes) > 0 && numbers[o.writes[0]] > 0 {
			all = append(all, ack{o.answered, numbers[o.writes[0]]})
		}
	}
	slices.SortFunc(all, func(a, b ack) int { return a.at.Compare(b.at) })
	for i := 1; i < len(all); i++ {
		all[i].number = max(all[i].number, all[i-1].number)
	}
	return all
}

// before returns the highest number that was acknowledged before the time.
func (a acks) before(t time.Time) uint64 {
	i, _ := slices.BinarySearchFunc(a, t, func(e ack, t time.Time) int { return e.at.Compare(t) })
	if i == 0 {
		return 0
	}
	return a[i-1].number
}

// checkRates: no workspace has more operations in a window than its rate and
// burst allow. As the users count, an operation is in a window if it is both
// sent and run in it; it runs when its first statement does.
func (h *history) checkRates(runs []imitator.Run) []string {
	operations := map[string]int{} // By the id of a statement.
	for i, o := range h.all {
		for _, id := range o.ids {
			operations[id] = i
		}
	}
	counted := map[int]bool{}
	byWorkspace := map[string][]span{}
	for _, run := range runs {
		i, known := operations[run.ID]
		if run.Code == "" && known && !counted[i] {
			counted[i] = true
			byWorkspace[run.Workspace] = append(byWorkspace[run.Workspace], span{h.all[i].sent, run.At, h.all[i].instance})
		}
	}
	var broken []string
	for workspace, all := range byWorkspace {
		if most, limit := busiest(all), rateLimit(workspace); len(most) > limit {
			broken = append(broken, fmt.Sprintf("rate: %d operations of %s were sent and ran in %v from %s, allowed are %d; by instance and second %v",
				len(most), workspace, quotaWindow, most[0].sent.UTC().Format(time.TimeOnly), limit, bySecond(most)))
		}
	}
	return broken
}

// span is the time of an operation from its sending to its run.
type span struct {
	sent, ran time.Time
	instance  string
}

// busiest returns the operations of the window that holds most of them.
func busiest(all []span) []span {
	slices.SortFunc(all, func(a, b span) int { return a.sent.Compare(b.sent) })
	var most []span
	for i := range all {
		end := all[i].sent.Add(quotaWindow)
		var inside []span
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

// bySecond counts operations by instance for each second of their window.
func bySecond(window []span) map[string][]int {
	counts := map[string][]int{}
	for _, o := range window {
		if counts[o.instance] == nil {
			counts[o.instance] = make([]int, int(quotaWindow/time.Second)+1)
		}
		counts[o.instance][int(o.ran.Sub(window[0].sent)/time.Second)]++
	}
	return counts
}

func rateLimit(workspace string) int {
	rate := float64(rates[workspace])
	return int((rate*quotaWindow.Seconds()+rate)*quotaOver + quotaSlack)
}

// checkEnd: callers are served again once the faults are over.
func (h *history) checkEnd() []string {
	if len(h.all) == 0 {
		return []string{"end: no operation was sent"}
	}
	last := h.all[len(h.all)-1].answered.Add(-settle / 3)
	served, all := 0, 0
	for _, o := range h.all {
		if o.sent.Before(last) || strings.HasPrefix(o.key, oldKey) || o.workspace == "desks" {
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
