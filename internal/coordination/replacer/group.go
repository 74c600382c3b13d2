package replacer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Sentinel errors of reading a database group from the store.
var (
	// ErrNoGroup reports that the servers of the service were never recorded.
	ErrNoGroup = errors.New("database group was never recorded")
	// ErrGroupUnreadable reports an object that tells nothing of the group.
	ErrGroupUnreadable = errors.New("database group cannot be read")

	errReplicasBehind   = errors.New("too few replicas have all commits of the primary without the servers that have left")
	errMemberAnswers    = errors.New("a server without a registration answers")
	errPrimarySilent    = errors.New("the primary does not answer as such")
	errGroupNotRecorded = errors.New("neither the store nor this instance knows the servers of the service while its primary led")
)

// groupUpdate is what an update of the group in the store needs to know of the primary.
type groupUpdate struct {
	leads   bool                    // The primary was seen leading just now.
	primary cataloger.BackendServer // Set if leads is.
	// firstPrimary is the primary if it leads and none was ever replaced, so that no
	// leadership record names it.
	firstPrimary identifier.BackendServerID
	syncReplicas int
}

// newGroupUpdate returns what is known of the primary.
func (r *Replacer) newGroupUpdate(c *cataloger.Catalog, service identifier.ServiceName, p primaryState) groupUpdate {
	u := groupUpdate{leads: p.leads(), syncReplicas: c.Configuration.Services[service].SyncReplicas}
	if !u.leads {
		return u
	}
	u.primary = p.server
	if r.Record(service).Server == "" {
		u.firstPrimary = p.id
	}
	return u
}

// updateGroup brings the group of the service in the store up to date: it adds the
// servers that have registered, and removes those that are gone and not needed any more.
// Several instances may do so at a time, since each write has a condition.
func (r *Replacer) updateGroup(ctx context.Context, service identifier.ServiceName, h *memberHistory, u groupUpdate) {
	defer h.endUpdate()
	next, gone, err := r.nextGroup(ctx, service, h, u)
	if err == nil && !next.Equal(h.storedGroup()) {
		err = r.writeGroup(ctx, service, h, next)
	}
	switch {
	case err != nil:
		r.Logger.Info().Str("event", "group_not_updated").Str("service", string(service)).Err(err).Send()
	case len(gone) > 0:
		h.forget(gone)
		r.Logger.Info().Str("event", "group_members_removed").Str("service", string(service)).Strs("servers", memberTexts(gone)).Send()
	}
}

// nextGroup reads the group from the store and returns the one to write, and the servers
// that it leaves out.
func (r *Replacer) nextGroup(ctx context.Context, service identifier.ServiceName, h *memberHistory, u groupUpdate) (next cataloger.DatabaseGroup, gone []cataloger.GroupMember, err error) {
	unreadable := r.readGroup(ctx, service, h)
	if unreadable != nil && !errors.Is(unreadable, ErrGroupUnreadable) {
		return next, nil, unreadable
	}
	gone = h.departed()
	if !u.leads {
		gone = nil
	}
	next = h.group(gone, u.firstPrimary)
	if len(gone) == 0 && unreadable == nil {
		return next, nil, nil
	}
	// An object that cannot be read may have had any servers, which the others must not need.
	if err := r.checkNotNeeded(service, next, gone, u); err != nil {
		if unreadable != nil {
			return next, nil, errors.Wrap(unreadable, err.Error())
		}
		r.Logger.Info().Str("event", "group_members_kept").Str("service", string(service)).Strs("servers", memberTexts(gone)).Err(err).Send()
		return h.group(nil, u.firstPrimary), nil, nil
	}
	return next, gone, nil
}

// readGroup makes the history adopt the group that the store has. With
// [ErrGroupUnreadable] the history knows the revision of the object.
func (r *Replacer) readGroup(ctx context.Context, service identifier.ServiceName, h *memberHistory) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	g, err := r.ReadGroup(ctx, service)
	switch {
	case err == nil:
		h.adopt(g, time.Now())
	case errors.Is(err, ErrNoGroup):
		h.adopt(cataloger.DatabaseGroup{}, time.Now())
	case errors.Is(err, ErrGroupUnreadable):
		h.adoptUnreadable(g.Revision)
		return err
	default:
		return err
	}
	return nil
}

func (r *Replacer) writeGroup(ctx context.Context, service identifier.ServiceName, h *memberHistory, next cataloger.DatabaseGroup) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	written, err := r.WriteGroup(ctx, service, next)
	if err != nil {
		return err
	}
	h.adopt(written, time.Now())
	r.Logger.Info().Str("event", "group_recorded").Str("service", string(service)).Strs("servers", memberTexts(written.Members)).
		Str("primary", string(written.Primary)).Stringer("revision", written.Revision).Send()
	return nil
}

// checkNotNeeded returns an error unless the group can do without the servers that are
// gone: they do not answer, and of the servers that are left as many have received the
// whole log of the primary as each commit needs. The platform treats a server whose
// registration is missing for longer than 2 s as gone, so that none of later commits is
// on these servers alone.
func (r *Replacer) checkNotNeeded(service identifier.ServiceName, left cataloger.DatabaseGroup, gone []cataloger.GroupMember, u groupUpdate) error {
	if !u.leads {
		return errPrimarySilent
	}
	for id, answer := range r.queryMembers(service, gone) {
		if answer.err == nil {
			return errors.Wrapf(errMemberAnswers, "server %s", id)
		}
	}
	end, leads := r.leaderStatus(u.primary)
	if !leads {
		return errors.Wrapf(errPrimarySilent, "server %s", u.primary.ID)
	}
	complete := 0
	for id, answer := range r.queryMembers(service, left.Members) {
		if id != u.primary.ID && answer.err == nil && answer.status.Received.Compare(end.Received) >= 0 {
			complete++
		}
	}
	if complete < u.syncReplicas {
		return errors.Wrapf(errReplicasBehind, "%d of %d, log ends at %s", complete, u.syncReplicas, end.Received)
	}
	return nil
}

// memberAnswer is the answer of a server to a status query.
type memberAnswer struct {
	status requester.ServerStatus
	err    error
}

// queryMembers queries the servers for their status at the same time.
func (r *Replacer) queryMembers(service identifier.ServiceName, members []cataloger.GroupMember) map[identifier.BackendServerID]memberAnswer {
	var mu sync.Mutex
	var queries sync.WaitGroup
	answers := map[identifier.BackendServerID]memberAnswer{}
	for _, m := range members {
		queries.Go(func() {
			b, registered := r.Catalog().Server(service, m.ID)
			if !registered {
				b = cataloger.BackendServer{ID: m.ID, Service: service, Address: m.Address, DataCentre: m.DataCentre}
			}
			status, err := r.Status(b)
			mu.Lock()
			defer mu.Unlock()
			answers[m.ID] = memberAnswer{status, err}
		})
	}
	queries.Wait()
	return answers
}

// adoptUnreadable records the revision of a group that cannot be read, so that it can be
// replaced.
func (h *memberHistory) adoptUnreadable(revision cataloger.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stored, h.isRead = cataloger.DatabaseGroup{Revision: revision}, true
}

// forget removes servers that are gone and not registered.
func (h *memberHistory) forget(gone []cataloger.GroupMember) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range gone {
		if s, known := h.sightings[m.ID]; known && !s.at.Equal(h.observed) {
			delete(h.sightings, m.ID)
		}
	}
}

func (h *memberHistory) storedGroup() cataloger.DatabaseGroup {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stored
}

func memberTexts(members []cataloger.GroupMember) []string {
	texts := make([]string, len(members))
	for i, m := range members {
		texts[i] = string(m.ID)
	}
	slices.Sort(texts)
	return texts
}
