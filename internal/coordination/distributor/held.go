package distributor

import (
	"context"
	"maps"
	"slices"
	"time"

	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// heldState is the head and roster that the instance has adopted, with the
// proof of how long they may be served.
type heldState struct {
	head              Head
	accepted          *configurer.Document // Nil before the first head.
	proposed          *configurer.Document
	proposalAdoptedAt time.Time // When the open proposal was adopted.

	roster          Roster
	rosterAdoptedAt time.Time
	established     bool

	joined            bool // A platform read since the start showed this instance in its roster.
	stopped           bool
	relaysUnreachable bool      // No relay answered the latest round of requests.
	lastRead          time.Time // When the latest platform read, own or a relay's, was sent; zero without one.
	validUntil        time.Time

	peers map[identifier.InstanceID]peerReport
}

// peerReport is the latest confirmation received from a peer.
type peerReport struct {
	confirmation ConfigConfirmation
	receivedAt   time.Time
}

// adopt adopts a head with its documents and then a roster, each only if it is
// newer than the held one. The order preserves the invariant that an instance
// with a roster also holds a head that was read after it.
func (d *Distributor) adopt(ctx context.Context, head Head, roster *Roster, from identifier.InstanceID) error {
	if err := d.adoptHead(ctx, head, from); err != nil {
		return err
	}
	if roster == nil || roster.DataCentre != d.DataCentre {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	h := &d.held
	if roster.Version <= h.roster.Version {
		return nil
	}
	h.roster, h.rosterAdoptedAt, h.established = *roster, d.now(), false
	maps.DeleteFunc(h.peers, func(id identifier.InstanceID, _ peerReport) bool {
		return !roster.Has(id) && !slices.Contains(roster.Previous, id)
	})
	if !roster.Has(d.Instance) {
		h.joined, h.validUntil = false, time.Time{}
	}
	d.publishView()
	d.triggerPush()
	return nil
}

func (d *Distributor) adoptHead(ctx context.Context, head Head, from identifier.InstanceID) error {
	if !d.isNewer(head) {
		return nil
	}
	accepted, err := d.heldOrLoadedDocument(ctx, head.Accepted, from)
	if err != nil {
		return err
	}
	var proposed *configurer.Document
	if head.Proposal != nil {
		if proposed, err = d.heldOrLoadedDocument(ctx, head.Proposal.Ref, from); err != nil {
			return err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isNewerLocked(head) {
		return nil
	}
	h := &d.held
	if head.Proposal != nil && (h.head.Proposal == nil || h.head.Proposal.Ref != head.Proposal.Ref) {
		h.proposalAdoptedAt = d.now()
	}
	h.head, h.accepted, h.proposed = head, accepted, proposed
	d.publishView()
	d.triggerPush()
	d.Logger.Info().Str("event", "config_head").Str("instance", string(d.Instance)).Str("data_centre", string(d.DataCentre)).
		Uint64("version", uint64(head.Accepted.Version)).Bool("proposal", proposed != nil).Uint64("revision", head.Revision).Send()
	return nil
}

// heldOrLoadedDocument returns a held document, or loads it. Heads that share a
// document therefore do not decode it again.
func (d *Distributor) heldOrLoadedDocument(ctx context.Context, ref RecordRef, from identifier.InstanceID) (*configurer.Document, error) {
	d.mu.Lock()
	h := d.held
	d.mu.Unlock()
	switch {
	case h.accepted != nil && h.head.Accepted == ref:
		return h.accepted, nil
	case h.proposed != nil && h.head.Proposal.Ref == ref:
		return h.proposed, nil
	}
	return d.loadDocument(ctx, ref, from)
}

func (d *Distributor) isNewer(head Head) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.initLocked()
	return d.isNewerLocked(head)
}

func (d *Distributor) isNewerLocked(head Head) bool {
	h := &d.held
	if d.disabled.monotone {
		return h.accepted == nil || head.Revision != h.head.Revision
	}
	return h.accepted == nil || head.Revision > h.head.Revision
}

// extendValidity allows the instance to serve for [Validity] after a request
// was sent whose answer has already been adopted. The caller holds mu.
func (d *Distributor) extendValidity(sentAt time.Time) {
	h := &d.held
	if !h.joined || h.stopped || h.accepted == nil {
		return
	}
	if validUntil := sentAt.Add(Validity); validUntil.After(h.validUntil) {
		h.validUntil = validUntil
	}
	d.publishView()
}

// publishView updates the view that Current returns, and closes the channel of
// Changes if needed. The caller holds mu.
func (d *Distributor) publishView() {
	h := &d.held
	c := &publishedView{validUntil: h.validUntil}
	if !h.joined || h.stopped || h.accepted == nil {
		c = nil
	} else {
		c.view = configurer.View{Accepted: h.accepted, Proposed: h.proposed}
		if d.disabled.joint {
			c.view.Proposed = nil
		}
	}
	old := d.published.Swap(c)
	lapsed := old != nil && !d.now().Before(old.validUntil)
	if (c == nil) != (old == nil) || c != nil && (c.view != old.view || lapsed) {
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

// confirmation reports the head and roster that the instance holds.
func (d *Distributor) confirmation() ConfigConfirmation {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmationLocked()
}

func (d *Distributor) confirmationLocked() ConfigConfirmation {
	h := &d.held
	now := d.now()
	c := ConfigConfirmation{
		Instance: d.Instance, DataCentre: d.DataCentre, Revision: h.head.Revision, Roster: h.roster.Version,
		Joined: h.joined, Established: h.established, ReadAge: -1,
	}
	if !h.lastRead.IsZero() {
		c.ReadAge = now.Sub(h.lastRead)
	}
	return c
}

// stateForLocked returns the held head for an instance of a data centre, with
// the roster if it is the data centre of this instance. The caller holds mu.
func (d *Distributor) stateForLocked(dc identifier.DataCentre) *ConfigState {
	if d.held.accepted == nil {
		return nil
	}
	head := d.held.head
	s := &ConfigState{Head: &head}
	if dc == d.DataCentre {
		roster := d.held.roster
		s.Roster = &roster
	}
	return s
}

func (d *Distributor) stateFor(dc identifier.DataCentre) *ConfigState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stateForLocked(dc)
}

// recordConfirmation stores the confirmation of a peer of the same data centre.
func (d *Distributor) recordConfirmation(c ConfigConfirmation) {
	if c.DataCentre != d.DataCentre || c.Instance == d.Instance {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	h := &d.held
	if h.peers == nil {
		h.peers = map[identifier.InstanceID]peerReport{}
	}
	c.State = nil
	old := h.peers[c.Instance].confirmation
	if c.Revision >= old.Revision && c.Roster >= old.Roster || !c.Joined {
		h.peers[c.Instance] = peerReport{confirmation: c, receivedAt: d.now()}
	}
	h.established = h.established || c.Established && c.Roster == h.roster.Version
	d.updateEstablished()
}

// updateEstablished marks the roster as established once a majority of it and
// of the previous one is known to hold it. The caller holds mu.
func (d *Distributor) updateEstablished() {
	h := &d.held
	h.established = h.established || h.joined && h.roster.HasMajority(false, d.holdsRoster)
}

// holdsRoster reports whether an instance is known to hold the roster or a
// newer one. The caller holds mu.
func (d *Distributor) holdsRoster(id identifier.InstanceID) bool {
	if id == d.Instance {
		return d.held.joined
	}
	c := d.held.peers[id].confirmation
	return c.Joined && c.Roster >= d.held.roster.Version
}

// holdsHeadAndRoster reports whether an instance is known to hold the head and the
// roster, or newer ones. The caller holds mu.
func (d *Distributor) holdsHeadAndRoster(id identifier.InstanceID) bool {
	return d.holdsRoster(id) && (id == d.Instance || d.held.peers[id].confirmation.Revision >= d.held.head.Revision)
}

// orderedRelays returns the relays in the order in which this instance sends
// requests to them. The instances start at different relays, which spreads the
// load. The caller holds mu.
func (d *Distributor) orderedRelays() []identifier.InstanceID {
	relays := d.held.roster.relays()
	if len(relays) == 0 {
		return nil
	}
	first := max(slices.Index(d.held.roster.Members, d.Instance), 0) % len(relays)
	return append(relays[first:], relays[:first]...)
}

// isRelay reports whether the instance reads the platform for its data centre.
// The caller holds mu.
func (d *Distributor) isRelay() bool {
	return slices.Contains(d.held.roster.relays(), d.Instance)
}

func (d *Distributor) triggerPush() {
	select {
	case d.pushTrigger <- struct{}{}:
	default:
	}
}

// View returns the view of the held head for operators, also when the instance
// is not current. The second result is false before the first head.
func (d *Distributor) View() (configurer.View, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return configurer.View{Accepted: d.held.accepted, Proposed: d.held.proposed}, d.held.accepted != nil
}
