package runner

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/coordination/lister"
	"oleanderpulley/internal/coordination/promoter"
	"oleanderpulley/internal/protocol/encoder"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/platformclient"
	"oleanderpulley/internal/transport/reporter"
)

const (
	kindGroup = "group"
	// noticePeers limits the peers that are queried about a primary or notified
	// of a new one, so that the cost does not grow with the number of instances.
	// The other instances learn of the new term from the members of the group.
	noticePeers   = 12
	noticeTimeout = 500 * time.Millisecond
	// idleGroupSamplers is how many instances sample a group that no client uses,
	// so that a failure is detected before the next client connects.
	idleGroupSamplers = 2
)

func (r *Runner) buildPromoter() {
	r.promoter = &promoter.Promoter{
		Instance: r.Settings.InstanceID,
		Group:    r.groups.Get,
		Members:  r.promoterMembers,
		Status:   r.prober.Status, Fence: r.prober.Fence, Promote: r.prober.Promote, Follow: r.prober.Follow,
		ReadGroup: r.readGroup, UpdateGroup: r.updateGroup,
		PrimaryAnsweredPeer: r.peerReachesPrimary,
		Instances:           r.instanceIDs,
		Leaving: func(server identifier.BackendServerID) bool {
			_, draining := r.lister.LeavingSince(string(server))
			return draining
		},
		Evacuated: func(server identifier.BackendServerID) bool {
			_, evacuated := r.evacuations.since(server)
			return evacuated
		},
		OnTermOpened: r.notifyTermOpened,
		OnStep:       r.recordFailover,
	}
}

func registerGroupMessages(e *encoder.Encoder) {
	e.Register("group_notice", promoter.GroupNotice{})
	e.Register("group_answer", promoter.GroupAnswer{})
}

// answerGroupNotice samples the group at once if the notice announces a new
// primary. Otherwise it answers whether the primary has answered this instance.
func (r *Runner) answerGroupNotice(m promoter.GroupNotice) promoter.GroupAnswer {
	if m.Opened {
		r.prober.RequestSample(m.Service)
		return promoter.GroupAnswer{}
	}
	return promoter.GroupAnswer{Answered: r.promoter.PrimaryAnswered(m.Service, m.Term)}
}

func (r *Runner) promoterMembers(service identifier.ServiceName) []promoter.Member {
	var members []promoter.Member
	for id, b := range r.serviceMembers(service) {
		members = append(members, promoter.Member{Server: id, Address: b.Address})
	}
	slices.SortFunc(members, func(a, b promoter.Member) int { return cmp.Compare(a.Server, b.Server) })
	return members
}

func (r *Runner) readGroup(ctx context.Context, service identifier.ServiceName) (promoter.GroupRecord, uint64, error) {
	o, err := r.platform.Get(ctx, kindGroup, string(service))
	if errors.Is(err, platformclient.ErrNotFound) {
		return promoter.GroupRecord{}, 0, nil
	}
	if err != nil {
		return promoter.GroupRecord{}, 0, err
	}
	var record promoter.GroupRecord
	err = json.Unmarshal(o.Value, &record)
	return record, o.Version, errors.Wrapf(err, "decoding the record of group %s", service)
}

func (r *Runner) updateGroup(ctx context.Context, service identifier.ServiceName, record promoter.GroupRecord, ifVersion uint64) (uint64, error) {
	return r.platform.Put(ctx, kindGroup, string(service), record, ifVersion)
}

func (r *Runner) instanceIDs() []identifier.InstanceID {
	entries := r.lister.Entries(lister.RoleEntry)
	ids := make([]identifier.InstanceID, len(entries))
	for i, e := range entries {
		ids[i] = identifier.InstanceID(e.ID)
	}
	return ids
}

// peerReachesPrimary asks peers whether the primary of the term answers them. It
// returns true at the first peer that confirms it.
func (r *Runner) peerReachesPrimary(ctx context.Context, service identifier.ServiceName, term identifier.Term) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	peers := r.noticePeers(service)
	answers := make(chan bool, len(peers))
	for _, id := range peers {
		go func() {
			body, err := r.messenger.Request(ctx, id, promoter.GroupNotice{Service: service, Term: term})
			answer, _ := body.(promoter.GroupAnswer)
			answers <- err == nil && answer.Answered
		}()
	}
	for range peers {
		if <-answers {
			return true, nil
		}
	}
	return false, nil
}

// notifyTermOpened makes this instance and the peers that rank first for the
// service sample the group at once, after a new primary has been promoted.
func (r *Runner) notifyTermOpened(service identifier.ServiceName, term identifier.Term) {
	r.prober.RequestSample(service)
	for _, id := range r.noticePeers(service) {
		r.tasks.Go(func() { r.sendWithoutAnswer(id, promoter.GroupNotice{Service: service, Term: term, Opened: true}) })
	}
}

// noticePeers returns the peers that rank first for the service, at most as many
// as the constant noticePeers.
func (r *Runner) noticePeers(service identifier.ServiceName) []identifier.InstanceID {
	peers := slices.DeleteFunc(promoter.SortByRank(service, r.instanceIDs()), func(id identifier.InstanceID) bool {
		return id == r.Settings.InstanceID
	})
	return peers[:min(noticePeers, len(peers))]
}

// recordFailover logs a step of a failover. Once a new primary is open for writes,
// it records the duration of each phase of the failover in a histogram.
func (r *Runner) recordFailover(e promoter.Event) {
	if r.Override.OnFailoverEvent != nil {
		r.Override.OnFailoverEvent(e)
	}
	level := zerolog.InfoLevel
	if e.Err != nil {
		level = zerolog.WarnLevel
	}
	r.Logger.WithLevel(level).Err(e.Err).Str("event", "failover_"+string(e.Step)).Str("service", string(e.Service)).
		Uint64("term", uint64(e.Term)).Str("reason", string(e.Reason)).Str("primary", string(e.Primary)).
		Dur("gap", e.Gap.Total()).Send()
	if e.Step != promoter.StepOpened {
		return
	}
	for part, d := range map[string]time.Duration{
		"detection": e.Gap.Detection, "decision": e.Gap.Decision, "fencing": e.Gap.Fencing,
		"waiting": e.Gap.Waiting, "opening": e.Gap.Opening, "total": e.Gap.Total(),
	} {
		r.registry.Observe(reporter.Series{Name: "failover_seconds", Service: e.Service, Reason: part}, d)
	}
}

// groupsToSample returns the services whose groups this instance samples even
// when no client uses them. It hashes every instance for every service, so it is
// called only when the instances or the services have changed.
func (r *Runner) groupsToSample(view configurer.View) []identifier.ServiceName {
	all := r.instanceIDs()
	var watched []identifier.ServiceName
	for service := range view.Accepted.Services {
		if promoter.Rank(service, r.Settings.InstanceID, all) < idleGroupSamplers {
			watched = append(watched, service)
		}
	}
	return watched
}
