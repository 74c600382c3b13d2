package starter

import (
	"context"
	"time"

	"oleanderpulley/internal/coordination/follower"
	"oleanderpulley/internal/coordination/replacer"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

const (
	// eraRequestTimeout limits one request for the records of an instance.
	eraRequestTimeout = 500 * time.Millisecond
	// eraRequestInterval is the pause before instances that have not answered are
	// asked again.
	eraRequestInterval = 100 * time.Millisecond
	// maxEraFleet is the size up to which an instance asks all others. In a
	// larger fleet each one would open links to all others at the same moment, so
	// that it asks a few, and permits stay suspended until one of these has known
	// the era for long enough.
	maxEraFleet = 64
	// eraSample is the number of instances that are asked in a larger fleet, and
	// eraSampleInterval the time between two such requests.
	eraSample         = 4
	eraSampleInterval = time.Second
)

// eraRequest asks for all leadership records that an instance knows, after the
// store came back from an older copy and began the era.
type eraRequest struct {
	Era uint64 `cbor:"era"`
}

// eraReply answers an eraRequest. Its sender requests no promotion any more that
// it announced in an earlier era.
type eraReply struct {
	Age     time.Duration                                   `cbor:"age"` // How long the sender has known the era.
	Records map[identifier.ServiceName]cataloger.Leadership `cbor:"records"`
}

// eraChanged suspends the use of primaries after the store came back from an
// older copy, or if that was before this instance started, until every other
// instance has told the replacements that it knows, or until none of them can go
// on. A store in its first era has lost nothing.
func (s *Starter) eraChanged(era uint64) {
	if era > 0 && s.fencer.BeginEra(era, replacer.TakeoverTimeout) {
		go s.collectRecords(era)
	}
}

// collectRecords requests the records of all instances and resumes the use of
// primaries once all have answered, or one that has known the era for longer than
// a replacement can go on.
func (s *Starter) collectRecords(era uint64) {
	started := time.Now()
	answered := map[identifier.InstanceID]bool{}
	settled := false
	pause := eraRequestInterval
	for !settled && s.fencer.Era() == era && time.Since(started) < replacer.TakeoverTimeout {
		// An instance that has just started has not read the list yet.
		if c := s.holder.Catalog(); c != nil && len(c.Instances) > 0 {
			settled = s.requestRecords(era, c.Instances, answered)
			if len(c.Instances) > maxEraFleet {
				pause = eraSampleInterval
			}
		}
		if !settled {
			time.Sleep(pause)
		}
	}
	if settled {
		s.fencer.Resume(era)
	}
	s.Logger.Info().Str("event", "era_records_collected").Uint64("era", era).Bool("settled", settled).
		Int("answered", len(answered)).Dur("took_ms", time.Since(started)).Send()
}

// requestRecords requests the records of the instances that have not answered yet
// and observes them. It reports whether no more are needed.
func (s *Starter) requestRecords(era uint64, instances map[identifier.InstanceID]cataloger.Instance, answered map[identifier.InstanceID]bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), eraRequestTimeout)
	defer cancel()
	var asked []identifier.InstanceID
	for id := range instances {
		if id != s.Settings.InstanceID && !answered[id] {
			asked = append(asked, id)
		}
	}
	complete := len(instances) <= maxEraFleet
	if !complete {
		asked = asked[:min(len(asked), eraSample)] // Maps are iterated in random order.
	}
	replies := requestEach[eraReply](ctx, s, asked, eraRequest{Era: era})
	silent, settled := len(asked), false
	for r := range replies {
		silent--
		answered[r.peer] = true
		settled = settled || r.body.Age >= replacer.TakeoverTimeout
		for service, l := range r.body.Records {
			s.fencer.Observe(service, l)
		}
	}
	return settled || (complete && silent == 0)
}

// answerEraRequest answers an eraRequest. It begins the era here as well, so that
// no promotion is requested under a record that the store may have lost.
func (s *Starter) answerEraRequest(m eraRequest) eraReply {
	if s.fencer.BeginEra(m.Era, replacer.TakeoverTimeout) {
		go s.collectRecords(m.Era)
	}
	return eraReply{Age: s.fencer.EraAge(), Records: s.fencer.Records()}
}

// fetchPeerCatalogs requests the catalogs of some instances.
func (s *Starter) fetchPeerCatalogs(ctx context.Context, members map[identifier.InstanceID]cataloger.Instance) []*cataloger.Catalog {
	ctx, cancel := context.WithTimeout(ctx, follower.RelayTimeout)
	defer cancel()
	s.adoptDirectory(members)
	asked := s.randomPeers(samplePeers, s.Settings.InstanceID)
	replies := requestEach[follower.CatalogReply](ctx, s, asked, follower.CatalogRequest{Fetch: true})
	var catalogs []*cataloger.Catalog
	for r := range replies {
		if r.body.Update != nil && r.body.Update.Catalog != nil {
			catalogs = append(catalogs, r.body.Update.Catalog)
		}
	}
	return catalogs
}
