package starter

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/transport/reporter"
	"oleanderpulley/platform"
)

const (
	// maxTrackedEntries is the number of invalid entries of a kind that have log lines
	// of their own. The gauge counts all.
	maxTrackedEntries = 64
	// maxEntryLines is the number of log lines on invalid entries in a row, and
	// entryLineInterval the time after which one more is allowed. Another writer may
	// write and remove entries many times a second.
	maxEntryLines     = 32
	entryLineInterval = 2 * time.Second
)

// invalidEntries logs and counts the entries of the store that this instance does not
// use. Registry is required. It is safe for concurrent use.
type invalidEntries struct {
	Registry *reporter.Registry
	Logger   zerolog.Logger
	Now      func() time.Time // Nil means time.Now.

	mu           sync.Mutex
	byKind       map[string]*invalidKind
	allowedLines int // That may be written now.
	refilledAt   time.Time
	omittedLines int // Since the last one that was written.
}

// invalidKind has the invalid entries in the newest list of a kind.
type invalidKind struct {
	revision cataloger.Revision
	byName   map[string]bool // Whether the entry has had a line.
}

// Observe compares the invalid entries of a list with those of the one before. It
// writes one line when an entry appears and one when it goes. A list that is older than
// the newest one is ignored.
func (i *invalidEntries) Observe(kind string, revision cataloger.Revision, entries []platform.InvalidEntry) {
	i.mu.Lock()
	defer i.mu.Unlock()
	k := i.byKind[kind]
	if k == nil && len(entries) > 0 {
		k = i.addKind(kind)
	}
	if k == nil || k.revision.IsAfter(revision) {
		return
	}
	k.revision = revision
	k.byName = i.logChanges(kind, revision, k.byName, entries)
	i.Registry.SetGauge(reporter.Series{Name: "invalid_entries", Reason: kind}, int64(len(entries)))
}

func (i *invalidEntries) addKind(kind string) *invalidKind {
	if i.byKind == nil {
		i.byKind = map[string]*invalidKind{}
	}
	k := &invalidKind{}
	i.byKind[kind] = k
	return k
}

// logChanges writes the lines on the entries that have appeared or gone since the earlier
// list. It returns the entries that are tracked from now on, and whether each has had a line.
func (i *invalidEntries) logChanges(kind string, revision cataloger.Revision, earlier map[string]bool, entries []platform.InvalidEntry) map[string]bool {
	present := make(map[string]bool, min(len(entries), maxTrackedEntries))
	for _, e := range entries {
		logged, known := earlier[e.Name]
		if _, repeated := present[e.Name]; repeated || (!known && len(present) >= maxTrackedEntries) {
			continue
		}
		present[e.Name] = logged || (!known && i.logAppeared(kind, e))
	}
	for name, logged := range earlier {
		if _, ok := present[name]; !ok && logged {
			i.logGone(kind, name, revision)
		}
	}
	return present
}

// logAppeared counts an entry and reports whether its line was written.
func (i *invalidEntries) logAppeared(kind string, e platform.InvalidEntry) bool {
	i.Registry.Count(reporter.Series{Name: "invalid_entries_seen", Reason: kind}, 1)
	return i.log(i.Logger.Warn().Str("event", "invalid_entry").Str("kind", kind).Str("name", e.Name).
		Str("reason", e.Reason).Stringer("revision", e.Revision))
}

func (i *invalidEntries) logGone(kind, name string, revision cataloger.Revision) {
	i.log(i.Logger.Info().Str("event", "invalid_entry_gone").Str("kind", kind).Str("name", name).Stringer("revision", revision))
}

// log writes the line if the bound allows it.
func (i *invalidEntries) log(line *zerolog.Event) bool {
	now := time.Now()
	if i.Now != nil {
		now = i.Now()
	}
	if i.refilledAt.IsZero() {
		i.allowedLines, i.refilledAt = maxEntryLines, now
	}
	if earned := int(now.Sub(i.refilledAt) / entryLineInterval); earned > 0 {
		i.allowedLines = min(maxEntryLines, i.allowedLines+earned)
		i.refilledAt = i.refilledAt.Add(time.Duration(earned) * entryLineInterval)
	}
	if i.allowedLines == 0 {
		i.omittedLines++
		line.Discard()
		return false
	}
	i.allowedLines--
	if i.omittedLines > 0 {
		line.Int("lines_left_out", i.omittedLines)
		i.omittedLines = 0
	}
	line.Send()
	return true
}
