package promoter

import (
	"context"
	"time"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/tracker"
)

// Reason is the reason for which a group needs a new term or a repair.
type Reason string

// Reasons in descending urgency after None.
const (
	None       Reason = ""
	Failed     Reason = "failed"     // The primary is suspected to have failed.
	Unfinished Reason = "unfinished" // There is no usable primary, because an attempt was not completed.
	Leave      Reason = "leave"      // The primary is draining or its data centre is evacuated.
	Repair     Reason = "repair"     // A member follows no primary or one of an older term.
)

// mostUrgentReason returns the most urgent reason that follows from the samples
// of the group, or None.
func (p *Promoter) mostUrgentReason(service identifier.ServiceName) Reason {
	g := p.Group(service)
	primary, term, ok := g.Primary()
	statuses := g.Statuses()
	if p.onlyEvacuated(statuses) {
		return None
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.serviceState(service)
	now := p.now()
	suspected := state.suspicion
	if ok && suspected.server == primary && suspected.term == term && !g.AnsweredAsPrimary(term, suspected.lastAnswer) {
		return Failed
	}
	if p.lacksUsablePrimary(state, statuses, term, ok, now) {
		return Unfinished
	}
	if !ok {
		return None
	}
	if p.isDraining(primary) && p.hasReplacement(statuses, primary) {
		return Leave
	}
	for _, st := range statuses {
		if p.needsRepair(state, st, primary, term, now) {
			return Repair
		}
	}
	return None
}

// lacksUsablePrimary reports whether the group has had no usable primary for the
// time Times.NoPrimaryGrace. A primary is usable if it has the newest term and
// neither it nor another member has promised a later one: such a member takes no
// log from it. The caller must hold mu.
func (p *Promoter) lacksUsablePrimary(state *serviceState, statuses []tracker.MemberStatus, term identifier.Term, hasPrimary bool, now time.Time) bool {
	unusable := !hasPrimary && len(statuses) > 0
	for _, st := range statuses {
		unusable = unusable || st.Promised > term
	}
	if !unusable {
		state.noPrimarySince = time.Time{}
		return false
	}
	if state.noPrimarySince.IsZero() {
		state.noPrimarySince = now
	}
	return now.Sub(state.noPrimarySince) >= orDefault(p.Times.NoPrimaryGrace, 2*time.Second)
}

// hasReplacement reports whether a member that has a log and is not draining
// can take over from the primary.
func (p *Promoter) hasReplacement(statuses []tracker.MemberStatus, primary identifier.BackendServerID) bool {
	for _, st := range statuses {
		if st.Server != primary && st.Term > 0 && !p.isDraining(st.Server) {
			return true
		}
	}
	return false
}

// onlyEvacuated reports whether all members with a log that are known are in
// evacuated data centres. Nothing is sent to them then, so that a primary would
// serve nobody.
func (p *Promoter) onlyEvacuated(statuses []tracker.MemberStatus) bool {
	evacuated := false
	for _, st := range statuses {
		if st.Term == 0 {
			continue
		}
		if !p.isEvacuated(st.Server) {
			return false
		}
		evacuated = true
	}
	return evacuated
}

// needsRepair reports whether the member has an older term than the primary, has
// promised no later one, and was not repaired recently. The caller must hold mu.
func (p *Promoter) needsRepair(state *serviceState, st tracker.MemberStatus, primary identifier.BackendServerID, term identifier.Term, now time.Time) bool {
	return st.Server != primary && st.Term < term && st.Promised <= term &&
		now.Sub(state.repairedAt[st.Server]) >= 2*orDefault(p.Times.RetryInterval, 500*time.Millisecond)
}

// repair makes members of an older term follow the primary of the newest term. A
// former primary then discards the part of its log that the new primary lacks.
func (p *Promoter) repair(ctx context.Context, service identifier.ServiceName) {
	g := p.Group(service)
	primary, term, ok := g.Primary()
	address := p.addressOf(service, primary)
	if !ok || address == "" {
		return
	}
	for _, st := range g.Statuses() {
		p.mu.Lock()
		state := p.serviceState(service)
		due := p.needsRepair(state, st, primary, term, p.now())
		if due {
			state.repairedAt[st.Server] = p.now()
		}
		p.mu.Unlock()
		if due {
			// A member refuses if it has promised a later term in the meantime.
			_, _ = p.Follow(ctx, service, st.Server, term, address)
		}
	}
}

// addressOf returns the network address of the member, or "" if it is not a
// member of the service's group.
func (p *Promoter) addressOf(service identifier.ServiceName, server identifier.BackendServerID) string {
	for _, m := range p.Members(service) {
		if m.Server == server {
			return m.Address
		}
	}
	return ""
}

// isDraining reports whether the backend server is to be replaced as primary,
// because it is draining or its data centre is evacuated.
func (p *Promoter) isDraining(server identifier.BackendServerID) bool {
	return p.Leaving != nil && p.Leaving(server) || p.isEvacuated(server)
}

func (p *Promoter) isEvacuated(server identifier.BackendServerID) bool {
	return p.Evacuated != nil && p.Evacuated(server)
}
