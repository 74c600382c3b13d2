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
	term           identifier.Term            // Of the record under which silentSince was set.
	lastLeader     identifier.BackendServerID // The server that this instance last saw leading; kept when it does not any more.
	members        memberHistory              // Of a service with synchronous replication.
	announcement   uint64                     // Revision of the newest known announcement of another instance.
	announcedSince time.Time                  // When this instance first knew that announcement.
	leaving        identifier.BackendServerID // The primary that was last seen to drain or to be evacuated.
	leavingSince   time.Time
	blocked        bool      // The primary is evacuated and no server may take over; logged.
	lackingSince   time.Time // When the catalog was first seen to lack the known record; zero while it has it.
	pausedUntil    time.Time
	budget         replacementBudget
	open           openPromotions
}

// silentFor returns the time since contact to the primary was lost, 0 while it is reachable.
func (w *serviceWatch) silentFor() time.Duration {
	if w.silentSince.IsZero() {
		return 0
	}
	return time.Since(w.silentSince)
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
