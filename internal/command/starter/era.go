package starter

import (
	"context"
	"maps"
	"slices"
	"time"

	"oleanderpulley/internal/coordination/follower"
	"oleanderpulley/internal/coordination/replacer"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/messenger"
)

const (
	// eraRequestTimeout limits one request for the records of an instance.
	eraRequestTimeout = 500 * time.Millisecond
	// eraRequestInterval is the time between two requests to an instance that
	// has not answered.
	eraRequestInterval = 300 * time.Millisecond
)

// eraRequest asks for all leadership records that an instance knows, after the
// store came back from an older copy and began the era.
type eraRequest struct {
	Era uint64 `cbor:"era"`
}

// eraReply answers an eraRequest. Its sender requests no promotion any more that
// it announced in an earlier era.
type eraReply struct {
	Records map[identifier.ServiceName]cataloger.Leadership `cbor:"records"`
}

// eraChanged suspends the use of primaries after the store came back from an
// older copy, until every other instance has told the replacements that it
// knows, or until none of them can go on.
func (s *Starter) eraChanged(known, era uint64) {
	if known == era {
		s.fencer.BeginEra(era, 0)
		return
	}
	if s.fencer.BeginEra(era, replacer.TakeoverTimeout) {
		go s.collectRecords(era)
	}
}

// collectRecords requests the records of all instances and resumes the use of
// primaries once all have answered.
func (s *Starter) collectRecords(era uint64) {
	started := time.Now()
	missing := slices.Collect(maps.Keys(s.holder.Catalog().Instances))
	missing = slices.DeleteFunc(missing, func(id identifier.InstanceID) bool { return id == s.Settings.InstanceID })
	for len(missing) > 0 && s.fencer.Era() == era && time.Since(started) < replacer.TakeoverTimeout {
		missing = s.requestRecords(era, missing)
		if len(missing) > 0 {
			time.Sleep(eraRequestInterval)
		}
	}
	if len(missing) == 0 {
		s.fencer.Resume(era)
	}
	s.Logger.Info().Str("event", "era_records_collected").Uint64("era", era).Int("missing", len(missing)).
		Dur("took_ms", time.Since(started)).Send()
}

// requestRecords requests the records of the instances, observes them and returns
// the instances that did not answer.
func (s *Starter) requestRecords(era uint64, ids []identifier.InstanceID) []identifier.InstanceID {
	ctx, cancel := context.WithTimeout(context.Background(), eraRequestTimeout)
	defer cancel()
	replies := requestEach[eraReply](ctx, s, ids, eraRequest{Era: era})
	var missing []identifier.InstanceID
	for range ids {
		r := <-replies
		if r.body == nil {
			missing = append(missing, r.peer)
			continue
		}
		for service, l := range r.body.Records {
			s.fencer.Observe(service, l)
		}
	}
	return missing
}

// answerEraRequest answers an eraRequest. It begins the era here as well, so that
// no promotion is requested under a record that the store may have lost.
func (s *Starter) answerEraRequest(m eraRequest) eraReply {
	if s.fencer.BeginEra(m.Era, replacer.TakeoverTimeout) {
		go s.collectRecords(m.Era)
	}
	return eraReply{Records: s.fencer.Records()}
}

// fetchPeerCatalogs requests the catalogs of some instances.
func (s *Starter) fetchPeerCatalogs(ctx context.Context, members map[identifier.InstanceID]cataloger.Instance) []*cataloger.Catalog {
	ctx, cancel := context.WithTimeout(ctx, follower.RelayTimeout)
	defer cancel()
	peers := make([]messenger.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, messenger.Peer{ID: m.ID, DataCentre: m.DataCentre, Address: m.Address})
	}
	s.peers.SetPeers(peers)
	asked := s.randomPeers(samplePeers, s.Settings.InstanceID)
	replies := requestEach[follower.CatalogReply](ctx, s, asked, follower.CatalogRequest{})
	var catalogs []*cataloger.Catalog
	for range asked {
		if r := <-replies; r.body != nil && r.body.Catalog != nil {
			catalogs = append(catalogs, r.body.Catalog)
		}
	}
	return catalogs
}
