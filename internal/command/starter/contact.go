package starter

import (
	"context"
	"time"

	"oleanderpulley/internal/coordination/fencer"
	"oleanderpulley/internal/state/identifier"
)

const (
	contactInterval = 250 * time.Millisecond
	contactTimeout  = 250 * time.Millisecond
	// contactRenewalAge is the age of the contact from which an instance asks
	// another data centre itself. It is longer than the age of one that arrives
	// through a relay.
	contactRenewalAge = 600 * time.Millisecond
	// contactPeers is the number of instances that are asked.
	contactPeers = 2
)

// contactRequest asks the receiver for a contact.
type contactRequest struct{}

// contactReply answers a contactRequest.
type contactReply struct {
	Contact *fencer.Contact `cbor:"contact"`
}

// runContacts renews the contact to other data centres while the answers of the
// relay do not.
func (s *Starter) runContacts(ctx context.Context) {
	ticker := time.NewTicker(contactInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if age, ok := s.fencer.ContactAge(); !ok || age > contactRenewalAge {
			s.renewContact(ctx)
		}
	}
}

func (s *Starter) renewContact(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	asked := s.remotePeers(contactPeers)
	sentAt := s.holder.Clock()
	replies := requestEach[contactReply](ctx, s, asked, contactRequest{})
	for range asked {
		if r := <-replies; r.body != nil {
			s.fencer.ObserveContact(r.body.Contact, sentAt)
		}
	}
}

// remotePeers returns up to limit connected peers of other data centres, in
// random order.
func (s *Starter) remotePeers(limit int) []identifier.InstanceID {
	var ids []identifier.InstanceID
	for _, p := range s.peers.Peers() { // Peers come in the random iteration order of a map.
		if len(ids) == limit {
			break
		}
		if p.DataCentre != s.Settings.DataCentre && s.peers.Connected(p.ID) {
			ids = append(ids, p.ID)
		}
	}
	return ids
}
