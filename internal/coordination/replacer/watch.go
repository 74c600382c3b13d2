package replacer

import (
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// serviceWatch is the monitoring state of one service.
type serviceWatch struct {
	running        bool                       // A check is in progress.
	silentSince    time.Time                  // When contact to the primary was lost; zero while it is reachable.
	replacingSince time.Time                  // When a replacement was first seen; zero while none is under way.
	term           identifier.Term            // Of the record under which silentSince was set.
	lastLeader     identifier.BackendServerID // The server that this instance last saw leading; kept when it does not any more.
	members        memberHistory              // Of a service with synchronous replication.
	groupUpdate    *groupUpdate               // That is due after the check, nil if none is.
	announcement   cataloger.Revision         // Revision of the newest known announcement of another instance.
	announcedSince time.Time                  // When this instance first knew that announcement.
	leaving        identifier.BackendServerID // The primary that was last seen to drain or to be evacuated.
	leavingSince   time.Time
	blocked        bool      // The primary is evacuated and no server may take over; logged.
	lackingSince   time.Time // When the catalog was first seen to lack the known record; zero while it has it.
	pausedUntil    time.Time
	budget         replacementBudget
	open           openPromotions
	refusals       tokenRefusals
}

// silentFor returns how long the service has had no primary, as far as this instance knows: the
// time since contact to the primary was lost, or since it first saw the replacement that is under
// way. 0 means that the primary is reachable.
func (w *serviceWatch) silentFor() time.Duration {
	var longest time.Duration
	for _, since := range []time.Time{w.silentSince, w.replacingSince} {
		if !since.IsZero() {
			longest = max(longest, time.Since(since))
		}
	}
	return longest
}

// observeReplacing records whether a replacement is under way.
func (w *serviceWatch) observeReplacing(isReplacing bool) {
	switch {
	case !isReplacing:
		w.replacingSince = time.Time{}
	case w.replacingSince.IsZero():
		w.replacingSince = time.Now()
	}
}

// unchangedFor returns the time since this instance first knew the record.
func (w *serviceWatch) unchangedFor(l cataloger.Leadership) time.Duration {
	if w.announcement != l.Revision {
		w.announcement, w.announcedSince = l.Revision, time.Now()
	}
	return time.Since(w.announcedSince)
}

// leavingFor returns the time since this instance first saw that the primary
// drains or is evacuated.
func (w *serviceWatch) leavingFor(id identifier.BackendServerID) time.Duration {
	if w.leaving != id {
		w.leaving, w.leavingSince = id, time.Now()
	}
	return time.Since(w.leavingSince)
}

// observeMembers records the registered servers of a service with synchronous
// replication, and whether this instance is to update its group in the store after the
// check.
func (w *serviceWatch) observeMembers(servers []cataloger.BackendServer, u groupUpdate, era uint64, delay time.Duration) {
	now := time.Now()
	w.members.observe(servers, now)
	if w.members.beginUpdate(u, era, delay, now) {
		w.groupUpdate = &u
	}
}

// takeGroupUpdate returns the update of the group that is due, or nil, and forgets it.
func (w *serviceWatch) takeGroupUpdate() *groupUpdate {
	u := w.groupUpdate
	w.groupUpdate = nil
	return u
}
