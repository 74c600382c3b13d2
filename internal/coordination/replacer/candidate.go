package replacer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Candidate is a server that may become the primary, with the status that it
// reported.
type Candidate struct {
	Server cataloger.BackendServer
	Member requester.ServerStatus
}

// String returns the id of the server, the end of its log and whether it leaves.
func (c Candidate) String() string {
	text := string(c.Server.ID) + " " + c.Member.Received.String()
	switch {
	case c.Server.Draining:
		text += " draining"
	case c.Server.Evacuated:
		text += " evacuated"
	}
	return text
}

// ChooseSuccessor returns the candidate that has received most of the log, leaving
// out servers that drain or are evacuated. Ties go to the lowest id, so that two
// instances with the same view choose the same server.
//
// If keepsAll is set, the successor must not lack anything that another candidate
// has. A server that leaves is chosen then if it alone has the longest log; it
// hands its log over afterwards.
func ChooseSuccessor(candidates []Candidate, keepsAll bool) (Candidate, bool) {
	eligible := withoutLeaving(candidates)
	if keepsAll {
		longest := longestLogs(candidates)
		if eligible = withoutLeaving(longest); len(eligible) == 0 {
			eligible = longest
		}
	}
	if len(eligible) == 0 {
		return Candidate{}, false
	}
	return slices.MinFunc(eligible, func(a, b Candidate) int {
		return cmp.Or(b.Member.Received.Compare(a.Member.Received), cmp.Compare(a.Server.ID, b.Server.ID))
	}), true
}

// discardedCommitsLimit is the time without a primary after which a server may be promoted
// whose log has discarded commits. A server that has crashed is back within seconds; one
// that is away for longer has lost its log, and the service would have no primary for good.
const discardedCommitsLimit = time.Minute

// withoutDiscarded leaves out the candidates that have commits which an earlier promotion
// discarded. The promotion of such a server would bring them back, so that all that was
// read since lacked acknowledged commits, and would discard the commits of later terms.
func withoutDiscarded(candidates []Candidate, starts cataloger.TermStarts) []Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return starts.HasDiscarded(c.Member.Received) })
}

// withoutEmpty leaves out the candidates that have received nothing. A new server that
// is promoted in place of one with discarded commits would lose the whole log.
func withoutEmpty(candidates []Candidate) []Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Member.Received.Offset == 0 })
}

func withoutLeaving(candidates []Candidate) []Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Server.IsLeaving() })
}

// longestLogs returns the candidates that have received as much as any other.
func longestLogs(candidates []Candidate) []Candidate {
	var end identifier.Position
	for _, c := range candidates {
		if c.Member.Received.Compare(end) > 0 {
			end = c.Member.Received
		}
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Member.Received.Compare(end) < 0 })
}

// chooseSuccessor returns the server to promote. The log of a draining primary is
// handed over to it afterwards; the successor of a failed one must have every
// acknowledged commit of a service with synchronous replication.
func (r *Replacer) chooseSuccessor(ctx context.Context, p *replacement) (Candidate, error) {
	group, err := r.replicaGroup(ctx, p)
	if err != nil {
		return Candidate{}, err
	}
	candidates := r.collectCandidates(r.Catalog().Servers[p.service], p.draining, group.includesAcknowledgedCommits)
	for _, candidate := range candidates {
		if p.draining == nil && !p.requested && r.stillLeads(p, candidate) {
			return Candidate{}, errors.Wrapf(errPrimaryLeads, "server %s", candidate.Server.ID)
		}
	}
	keepsAll := p.draining == nil && group.syncReplicas > 0
	eligible := withoutDiscarded(candidates, p.record.TermStarts)
	if len(eligible) < len(candidates) {
		eligible = withoutEmpty(eligible)
	}
	next, ok := ChooseSuccessor(eligible, keepsAll)
	if !ok && p.silentFor >= discardedCommitsLimit {
		eligible = candidates
		next, ok = ChooseSuccessor(eligible, keepsAll)
	}
	r.logCandidates(p, group, candidates, next)
	switch {
	case !ok && len(eligible) < len(candidates):
		return Candidate{}, errors.Wrapf(errCommitsDiscarded, "%d of %d servers, terms %q", len(candidates)-len(eligible), len(candidates), p.record.TermStarts)
	case !ok:
		return Candidate{}, errNoCandidate
	}
	// A server with discarded commits shows, too, that it has received nothing since.
	if keepsAll && !group.includesAcknowledgedCommits(candidates) && !group.includesAcknowledgedCommits(eligible) {
		return Candidate{}, errors.Wrapf(errCommitsUnknown, "%d servers answered, primary %q and replicas %q may have them",
			len(candidates), group.primary, group.replicas)
	}
	return next, nil
}

// logCandidates logs what the choice of a successor was based on. Of a service with
// synchronous replication that includes which servers may have acknowledged commits.
func (r *Replacer) logCandidates(p *replacement, group replicaGroup, candidates []Candidate, chosen Candidate) {
	described := make([]string, len(candidates))
	for i, c := range candidates {
		described[i] = c.String()
	}
	r.Logger.Info().Str("event", "successor_chosen").Str("service", string(p.service)).Uint64("token", p.record.Token()).
		Str("successor", string(chosen.Server.ID)).Strs("candidates", described).
		Func(func(e *zerolog.Event) {
			if group.syncReplicas > 0 {
				e.Int("sync_replicas", group.syncReplicas).Str("primary", string(group.primary)).Strs("replicas", textsOf(group.replicas))
			}
		}).Send()
}

func textsOf(ids []identifier.BackendServerID) []string {
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = string(id)
	}
	return texts
}

// stillLeads reports whether the candidate is the primary that is being replaced
// and answers that it leads.
func (r *Replacer) stillLeads(p *replacement, c Candidate) bool {
	isPrimary := p.record.Server == "" || p.record.Server == c.Server.ID
	return isPrimary && c.Member.Leads && r.Confirm(c.Server) == nil
}

// collectCandidates queries all servers but the draining one for their log
// positions. If all but one have answered and hold every acknowledged commit, it
// waits at most [lastAnswerTimeout] for the last one, which may be the failed
// primary.
func (r *Replacer) collectCandidates(servers []cataloger.BackendServer, draining *cataloger.BackendServer, hasAllCommits func([]Candidate) bool) []Candidate {
	answers := make(chan *Candidate, len(servers))
	pending := 0
	for _, b := range servers {
		if draining != nil && b.ID == draining.ID {
			continue
		}
		pending++
		go func() {
			m, err := r.Status(b)
			if err != nil {
				r.Logger.Info().Str("event", "candidate_silent").Str("server", string(b.ID)).Err(err).Send()
				answers <- nil
				return
			}
			answers <- &Candidate{b, m}
		}()
	}
	var candidates []Candidate
	var timeout <-chan time.Time
	for ; pending > 0; pending-- {
		if pending == 1 && len(candidates) > 0 && draining == nil && hasAllCommits(candidates) {
			timeout = time.After(lastAnswerTimeout)
		}
		select {
		case c := <-answers:
			if c != nil {
				candidates = append(candidates, *c)
			}
		case <-timeout:
			return candidates
		}
	}
	return candidates
}
