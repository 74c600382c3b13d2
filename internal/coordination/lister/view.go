package lister

import (
	"maps"
	"slices"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// maxTombstones bounds how many removed entries a relay remembers. An instance
// that has missed more removals gets a full answer.
const maxTombstones = 1024

// view is the state of the fleet as of one revision, with the revision at which
// each part of it last changed.
type view struct {
	origin           uint64
	revision         uint64
	oldestAnswerable uint64 // Requests with an older revision need a full answer.
	entries          map[string]viewEntry
	rosters          map[identifier.DataCentre]viewRoster
	tombstones       []viewEntry // Oldest first.
}

type viewEntry struct {
	Entry
	changeRevision uint64
	stateSince     time.Time // When the current state was first seen.
}

type viewRoster struct {
	Roster
	changeRevision uint64
}

// replace sets the view to complete lists and reports whether it changed.
func (v *view) replace(entries []Entry, rosters []Roster, now time.Time) bool {
	v.ensureMaps()
	next := v.revision + 1
	changed := false
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		changed = v.putEntry(e, next, now) || changed
	}
	for id, e := range v.entries {
		if !listed[id] {
			v.removeEntry(e, next)
			changed = true
		}
	}
	missing := maps.Clone(v.rosters)
	for _, r := range rosters {
		delete(missing, r.DataCentre)
		changed = v.putRoster(r, next) || changed
	}
	for dataCentre := range missing {
		delete(v.rosters, dataCentre)
		v.oldestAnswerable = next // An answer with changes cannot name a missing roster.
		changed = true
	}
	if changed {
		v.revision = next
	}
	return changed
}

// apply applies an answer of a relay and reports whether the view changed.
func (v *view) apply(s FleetState, now time.Time) bool {
	if s.Full {
		changed := v.replace(s.Entries, s.Rosters, now)
		v.origin, v.revision = s.Origin, s.Revision
		return changed
	}
	v.ensureMaps()
	changed := false
	for _, e := range s.Entries {
		if e.State == StateGone {
			if old, ok := v.entries[e.ID]; ok {
				v.removeEntry(old, s.Revision)
				changed = true
			}
			continue
		}
		changed = v.putEntry(e, s.Revision, now) || changed
	}
	for _, r := range s.Rosters {
		changed = v.putRoster(r, s.Revision) || changed
	}
	v.revision = s.Revision
	return changed
}

// changesSince returns the changes after the revision of the request, or the full
// view if they are not known.
func (v *view) changesSince(request FleetRequest) FleetState {
	v.ensureMaps()
	s := FleetState{Origin: v.origin, Revision: v.revision}
	s.Full = request.Origin != v.origin || request.Revision < v.oldestAnswerable || request.Revision > v.revision
	for _, e := range v.entries {
		if s.Full || e.changeRevision > request.Revision {
			s.Entries = append(s.Entries, e.Entry)
		}
	}
	for _, r := range v.rosters {
		if s.Full || r.changeRevision > request.Revision {
			s.Rosters = append(s.Rosters, r.Roster)
		}
	}
	for _, e := range v.tombstones {
		if _, readded := v.entries[e.ID]; !readded && !s.Full && e.changeRevision > request.Revision {
			s.Entries = append(s.Entries, e.Entry)
		}
	}
	return s
}

// putEntry adds or updates an entry and reports whether it changed.
func (v *view) putEntry(e Entry, revision uint64, now time.Time) bool {
	old, ok := v.entries[e.ID]
	if ok && old.Entry == e {
		return false
	}
	since := now
	if ok && old.State == e.State {
		since = old.stateSince
	}
	v.entries[e.ID] = viewEntry{e, revision, since}
	return true
}

// putRoster adds or updates a roster and reports whether it changed.
func (v *view) putRoster(r Roster, revision uint64) bool {
	old, ok := v.rosters[r.DataCentre]
	if ok && old.Removals == r.Removals && slices.Equal(old.Members, r.Members) {
		return false
	}
	v.rosters[r.DataCentre] = viewRoster{r, revision}
	return true
}

// removeEntry removes an entry and remembers it as a tombstone.
func (v *view) removeEntry(e viewEntry, revision uint64) {
	delete(v.entries, e.ID)
	e.State, e.changeRevision = StateGone, revision
	v.tombstones = append(v.tombstones, e)
	if len(v.tombstones) > maxTombstones {
		v.oldestAnswerable = v.tombstones[0].changeRevision
		v.tombstones = v.tombstones[1:]
	}
}

func (v *view) ensureMaps() {
	if v.entries == nil {
		v.entries = map[string]viewEntry{}
		v.rosters = map[identifier.DataCentre]viewRoster{}
	}
}
