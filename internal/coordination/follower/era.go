package follower

import (
	"context"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// observeEra notices that the store came back from an older copy. Backend servers
// and instances then write their entries again, so that missing ones are kept for
// a while. It returns [ErrEraChanged] for a revision of an earlier era.
func (f *Follower) observeEra(revision cataloger.Revision) error {
	era := revision.Era
	if f.eraKnown && era < f.era {
		return errors.Wrapf(ErrEraChanged, "answer of era %d, known era %d", era, f.era)
	}
	if f.eraKnown && era == f.era {
		return nil
	}
	if f.eraKnown {
		f.lapseGraceEnd = f.Holder.Clock() + lapsedServerGrace
		f.restored = true
		f.joined = false // The copy may lack the registration of this instance.
		f.Logger.Warn().Str("event", "store_restored").Uint64("era_before", f.era).Uint64("era", era).
			Stringer("revision_before", f.knownRevision).Stringer("revision", revision).Send()
	}
	f.era, f.eraKnown = era, true
	if f.OnEra != nil {
		f.OnEra(era)
	}
	return nil
}

// adoptPeerConfigurations takes over newer configurations of other instances
// before the first proof of this one. A store in its first era has lost nothing.
func (f *Follower) adoptPeerConfigurations(ctx context.Context, members map[identifier.InstanceID]cataloger.Instance) {
	if _, proven := f.Holder.Age(); proven || f.era == 0 || f.PeerCatalogs == nil || len(members) < 2 {
		return
	}
	for _, c := range f.PeerCatalogs(ctx, members) {
		if c.Configuration == nil {
			continue
		}
		f.updateCatalog(func(next *cataloger.Catalog) {
			next.Configuration = newerConfiguration(next.Configuration, c.Configuration)
		})
	}
}
