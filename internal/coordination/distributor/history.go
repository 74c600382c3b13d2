package distributor

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// maxHistory limits how many versions one call visits, because each of them is
// a read of a record from the platform.
const maxHistory = 200

// ErrNoVersion reports a version that is not among the latest 200 accepted
// ones.
var ErrNoVersion = errors.New("version is not in the history")

// Entry describes one accepted version in the history.
type Entry struct {
	Version identifier.ConfigVersion `json:"version"`
	Author  string                   `json:"author"`
	Time    time.Time                `json:"time"`
	Attempt string                   `json:"attempt_id"`
	Changes []configurer.Change      `json:"changes"`
}

// History returns the latest accepted versions, newest first.
func (d *Distributor) History(ctx context.Context, limit int) ([]Entry, error) {
	entries := []Entry{}
	var newer *configurer.Document
	err := d.walkHistory(ctx, min(limit, maxHistory)+1, func(r Record, doc *configurer.Document) (bool, error) {
		if newer != nil {
			changes, err := configurer.Diff(doc, newer)
			if err != nil {
				return false, err
			}
			entries[len(entries)-1].Changes = changes
		}
		newer = doc
		if r.Version == 0 || len(entries) == min(limit, maxHistory) {
			return false, nil
		}
		entries = append(entries, Entry{Version: r.Version, Author: r.Author, Time: r.Time, Attempt: r.Attempt})
		return true, nil
	})
	return entries, err
}

// Document returns the document of an accepted version.
func (d *Distributor) Document(ctx context.Context, version identifier.ConfigVersion) (*configurer.Document, error) {
	var found *configurer.Document
	err := d.walkHistory(ctx, maxHistory, func(r Record, doc *configurer.Document) (bool, error) {
		if r.Version == version {
			found = doc
		}
		return r.Version > version, nil
	})
	if err == nil && found == nil {
		err = errors.Wrapf(ErrNoVersion, "version %d", version)
	}
	return found, err
}

// walkHistory visits the accepted versions from the newest to version 0, at
// most the given number of them, until visit returns false or an error.
func (d *Distributor) walkHistory(ctx context.Context, steps int, visit func(Record, *configurer.Document) (bool, error)) error {
	head, err := d.readHead(ctx)
	if err != nil {
		return platformUnreadable(err)
	}
	ref := head.Accepted
	for range steps {
		r, doc, err := d.readVersion(ctx, ref)
		if err != nil {
			return err
		}
		if next, err := visit(r, doc); err != nil || !next {
			return err
		}
		ref = r.Previous
	}
	return nil
}

// readVersion returns a record and its document from memory or the platform.
func (d *Distributor) readVersion(ctx context.Context, ref RecordRef) (Record, *configurer.Document, error) {
	if ref.Version == 0 {
		return Record{}, configurer.Empty(), nil
	}
	data, ok := d.records.Get(ref.Name)
	if !ok {
		// Old records are not cached: they would evict the records in effect.
		var err error
		if data, err = d.fetchRecord(ctx, ref, ""); err != nil {
			return Record{}, nil, platformUnreadable(err)
		}
	}
	return decodeRecord(ref, data)
}
