package starter

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// noticeTimeout limits the sending of a record to an instance, which reads it from
// the store as well.
const noticeTimeout = 500 * time.Millisecond

// leadershipNotice makes the receiver observe a leadership record: the
// announcement or the end of a replacement.
type leadershipNotice struct {
	Service identifier.ServiceName `cbor:"service"`
	Record  cataloger.Leadership   `cbor:"record"`
}

// leadershipReply has the newest record that the sender knows. The sender does
// not use a primary that the record excludes.
type leadershipReply struct {
	Record cataloger.Leadership `cbor:"record"`
}

// observeNotice answers a leadershipNotice.
func (s *Starter) observeNotice(n leadershipNotice) leadershipReply {
	return leadershipReply{Record: s.fencer.Observe(n.Service, n.Record)}
}

// leadershipChanged forgets the replaced primary and makes the sessions use the
// new one. It is called with each new record.
func (s *Starter) leadershipChanged(service identifier.ServiceName, l cataloger.Leadership) {
	if _, term, _ := s.balancer.LastLed(service); !l.IsReplacing() && l.Server != "" && l.Term >= term {
		if l.Term > term {
			s.sessions.Sampler(service).Clear()
		}
		s.balancer.RecordLeader(service, l.Server, l.Term, time.Now())
	}
	s.Logger.Info().Str("event", "leadership_changed").Str("service", string(service)).Str("server", string(l.Server)).
		Uint64("term", uint64(l.Term)).Str("holder", string(l.Holder)).Stringer("revision", l.Revision).
		Func(func(e *zerolog.Event) {
			if l.IsReplacing() {
				e.Str("successor", string(l.Successor))
			}
		}).Send()
	if l.Term > 0 && !l.IsReplacing() {
		go s.stepDownReplaced(service, l)
	}
}

// stepDownReplaced demotes the servers that still claim to be the primary of the
// service besides the one of the record.
func (s *Starter) stepDownReplaced(service identifier.ServiceName, l cataloger.Leadership) {
	c := s.holder.Catalog()
	if c == nil || c.Configuration == nil {
		return
	}
	for _, b := range c.Servers[service] {
		if b.ID == l.Server || !b.ClaimsPrimary || s.connectionLimit(b) == 0 {
			continue
		}
		m, err := s.sessions.StepDown(b, l.Term)
		s.Logger.Info().Str("event", "replaced_primary_stepped_down").Str("service", string(service)).
			Str("server", string(b.ID)).Bool("leads", m.Leads).Err(err).Send()
	}
}

// maxBroadcastFleet is the size of the fleet up to which a notice is sent to
// instances to which no link is open. In a larger fleet the sender would spend
// longer on opening links than the notices need through the catalog.
const maxBroadcastFleet = 160

// isNotified reports whether a notice is sent to the instance.
func (s *Starter) isNotified(id identifier.InstanceID, service identifier.ServiceName) bool {
	c := s.holder.Catalog()
	if len(c.Instances) <= maxBroadcastFleet || s.peers.HasLink(id) {
		return true
	}
	_, isHome := s.plans.plan(c, service).HomeIn(id)
	return isHome
}

// revoke makes an instance observe the announcement of a replacement and reports
// whether it did.
func (s *Starter) revoke(ctx context.Context, id identifier.InstanceID, service identifier.ServiceName, l cataloger.Leadership) bool {
	if !s.isNotified(id, service) {
		return false // Its permit expires.
	}
	reply, err := s.peers.Request(ctx, id, leadershipNotice{service, l})
	r, ok := reply.(leadershipReply)
	if err != nil || !ok {
		s.Logger.Info().Str("event", "revocation_unconfirmed").Str("service", string(service)).Str("peer", string(id)).Err(err).Send()
		return false
	}
	return r.Record.IsSameReplacement(l)
}

// announceRecord sends a record, the successor or the end of a replacement, to
// the other instances. Those to which it is not sent read it with the catalog.
func (s *Starter) announceRecord(service identifier.ServiceName, l cataloger.Leadership) {
	for _, p := range s.peers.Peers() {
		if !s.isNotified(p.ID, service) {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
			defer cancel()
			if _, err := s.peers.Request(ctx, p.ID, leadershipNotice{service, l}); err != nil {
				s.Logger.Debug().Str("event", "notice_unconfirmed").Str("service", string(service)).Str("peer", string(p.ID)).Err(err).Send()
			}
		}()
	}
}
