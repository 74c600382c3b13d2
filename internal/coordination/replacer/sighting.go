package replacer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/fencer"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// PeerSightings summarizes the answers of peers that were asked whether a
// service has a primary. Led reports whether any of them has seen one lead.
type PeerSightings struct {
	Asked, Answered int
	Led             bool
}

// allowsReplacement reports whether a primary that this instance cannot reach
// may be replaced, although instances that did not answer may still reach it.
// While the primary is registered, it takes a peer that answers and a server of
// the service that this instance reaches: an instance that is cut off alone must
// not end the use of a primary that serves the others. In a partition, the side
// that reaches the store replaces the primary, however few its instances are.
func (s PeerSightings) allowsReplacement(registered bool, serversReached int) bool {
	if s.Led {
		return false
	}
	isAlone := s.Asked > 0 && s.Answered == 0
	return !registered || (!isAlone && serversReached > 0)
}

// queryPeersUnless asks the peers about the primary of the service after
// [sightingDelay]. No result arrives if notNeeded is closed before.
func (r *Replacer) queryPeersUnless(ctx context.Context, service identifier.ServiceName, notNeeded <-chan struct{}) <-chan PeerSightings {
	sightings := make(chan PeerSightings, 1)
	go func() {
		timer := time.NewTimer(sightingDelay)
		defer timer.Stop()
		select {
		case <-notNeeded:
		case <-timer.C:
			sightings <- r.QueryPeers(ctx, service, time.Now().Add(-peerSightingWindow))
		}
	}()
	return sightings
}

// queryServers queries the servers of a service concurrently. It returns true as
// soon as one that was not replaced answers that it leads, and otherwise the
// number of servers that answered.
func (r *Replacer) queryServers(c *cataloger.Catalog, service identifier.ServiceName) (leads bool, reached int) {
	answers := make(chan error, len(c.Servers[service]))
	leader := r.Record(service).Server
	for _, b := range c.Servers[service] {
		go func() {
			err := r.Confirm(b)
			if err == nil && leader != "" && leader != b.ID {
				err = fencer.ErrNotLeading
			}
			answers <- err
		}()
	}
	for range c.Servers[service] {
		switch err := <-answers; {
		case err == nil:
			return true, reached
		case errors.Is(err, fencer.ErrNotLeading):
			reached++
		}
	}
	return false, reached
}
