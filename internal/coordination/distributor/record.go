package distributor

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// Record is a stored version of the configuration. It is immutable.
type Record struct {
	Version  identifier.ConfigVersion `json:"version"`
	Previous RecordRef                `json:"previous"`
	Author   string                   `json:"author"`
	Time     time.Time                `json:"time"` // Wall clock of the proposer; used only in the history.
	Attempt  string                   `json:"attempt"`
	Document json.RawMessage          `json:"document"`
}

// recordPart is the stored form of a part of a record.
type recordPart struct {
	Data []byte `json:"data"`
}

func hexDigest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// storeRecord writes a record under a unique name, so that concurrent
// proposals, or proposals after a withdrawn one, never share an object.
func (d *Distributor) storeRecord(ctx context.Context, r Record) (RecordRef, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return RecordRef{}, errors.Wrap(err, "encode record")
	}
	parts := configurer.Split(data, configurer.MaxPartBytes)
	ref := RecordRef{
		Version: r.Version, Name: fmt.Sprintf("%d.%s", r.Version, strings.ToLower(rand.Text()[:12])),
		Parts: len(parts), Digest: hexDigest(data),
	}
	for n, p := range parts {
		if err := d.storeRecordPart(ctx, ref.partName(n), p); err != nil {
			return RecordRef{}, errors.Wrapf(err, "write %s/%s", kindRecord, ref.partName(n))
		}
	}
	d.records.Add(ref.Name, data, nil)
	return ref, nil
}

// storeRecordPart writes one part and retries once after an error. A conflict
// means that the answer to the first try was lost, because no other instance
// writes under the name.
func (d *Distributor) storeRecordPart(ctx context.Context, name string, data []byte) error {
	value, err := json.Marshal(recordPart{Data: data})
	if err != nil {
		return err
	}
	if _, err = d.Platform.write(ctx, kindRecord, name, value, 0); err != nil {
		_, err = d.Platform.write(ctx, kindRecord, name, value, 0)
	}
	if errors.Is(err, ErrConflict) {
		return nil
	}
	return err
}

func (r RecordRef) partName(n int) string {
	return fmt.Sprintf("%s.%d", r.Name, n)
}

// loadRecord returns the encoded record from the cache, from the peer that sent
// the head, or from the platform.
func (d *Distributor) loadRecord(ctx context.Context, ref RecordRef, from identifier.InstanceID) ([]byte, error) {
	data, err, _ := d.fetchGroup.Do(ref.Name, func() (any, error) {
		if data, ok := d.records.Get(ref.Name); ok {
			return data, nil
		}
		data, err := d.fetchRecord(ctx, ref, from)
		if err == nil {
			d.records.Add(ref.Name, data, nil)
		}
		return data, err
	})
	if err != nil {
		return nil, err
	}
	return data.([]byte), nil
}

func (d *Distributor) fetchRecord(ctx context.Context, ref RecordRef, from identifier.InstanceID) ([]byte, error) {
	if from != "" {
		data, err := d.fetchRecordByDelta(ctx, ref, from)
		if errors.Is(err, errNoDelta) {
			data, err = d.fetchRecordFromPeer(ctx, ref, from)
		}
		if err == nil {
			return data, nil
		}
	}
	data, err := configurer.Join(ref.Parts, func(n int) ([]byte, error) {
		o, err := d.Platform.read(ctx, kindRecord, ref.partName(n))
		if err != nil {
			return nil, err
		}
		var p recordPart
		err = json.Unmarshal(o.Value, &p)
		return p.Data, err
	})
	if err != nil {
		return nil, errors.Wrapf(err, "read %s/%s", kindRecord, ref.Name)
	}
	return data, ref.verifyDigest(data)
}

func (d *Distributor) fetchRecordFromPeer(ctx context.Context, ref RecordRef, from identifier.InstanceID) ([]byte, error) {
	data, err := configurer.Join(ref.Parts, func(n int) ([]byte, error) {
		answer, err := d.sendRequest(ctx, from, ConfigState{RecordName: ref.Name, Part: n}, recordTimeout)
		if err != nil {
			return nil, err
		}
		s, ok := answer.(ConfigState)
		if !ok || len(s.Record) == 0 {
			return nil, errors.Errorf("%s does not hold record %s", from, ref.Name)
		}
		return s.Record, nil
	})
	if err != nil {
		return nil, err
	}
	return data, ref.verifyDigest(data)
}

func (r RecordRef) verifyDigest(data []byte) error {
	if hexDigest(data) != r.Digest {
		return errors.Errorf("record %s does not have the digest that the head names", r.Name)
	}
	return nil
}

// loadDocument returns the validated document of a record.
func (d *Distributor) loadDocument(ctx context.Context, ref RecordRef, from identifier.InstanceID) (*configurer.Document, error) {
	if ref.Version == 0 {
		return configurer.Empty(), nil
	}
	doc, err, _ := d.fetchGroup.Do("document "+ref.Name, func() (any, error) {
		if doc, ok := d.records.Document(ref.Name); ok {
			return doc, nil
		}
		data, err := d.loadRecord(ctx, ref, from)
		if err != nil {
			return nil, err
		}
		_, doc, err := decodeRecord(ref, data)
		if err == nil {
			d.records.Add(ref.Name, data, doc)
		}
		return doc, err
	})
	if err != nil {
		return nil, err
	}
	return doc.(*configurer.Document), nil
}

func decodeRecord(ref RecordRef, data []byte) (Record, *configurer.Document, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, nil, errors.Wrapf(err, "record %s", ref.Name)
	}
	doc, err := configurer.Decode(r.Document)
	return r, doc, errors.Wrapf(err, "record %s", ref.Name)
}
