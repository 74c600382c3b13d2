package runner

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/distributor"
	"oleanderpulley/internal/coordination/lister"
	"oleanderpulley/internal/coordination/sharer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/platformclient"
)

// Kinds of the platform objects that this file reads and writes.
const (
	kindRoster = "roster"
	kindLedger = "ledger"
)

func (r *Runner) buildPlatformClient() error {
	s := r.Settings.Platform
	r.platform = &platformclient.Client{
		BaseURL: s.URL, InstanceID: string(r.Settings.InstanceID), Timeout: time.Duration(r.Settings.Timeouts.PlatformCall),
	}
	if s.TLSCAFile == "" && s.TLSCertFile == "" {
		return nil
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if s.TLSCAFile != "" {
		pool, err := loadCertPool(s.TLSCAFile)
		if err != nil {
			return err
		}
		config.RootCAs = pool
	}
	if s.TLSCertFile != "" {
		certificate, err := tls.LoadX509KeyPair(s.TLSCertFile, s.TLSKeyFile)
		if err != nil {
			return errors.Wrapf(err, "loading certificate %s", s.TLSCertFile)
		}
		config.Certificates = []tls.Certificate{certificate}
	}
	r.platform.HTTP = &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	return nil
}

// distributorPlatform adapts the platform client to the distributor.
func (r *Runner) distributorPlatform() distributor.Platform {
	return distributor.Platform{
		Read: func(ctx context.Context, kind, name string) (distributor.Object, error) {
			o, err := r.platform.Get(ctx, kind, name)
			if errors.Is(err, platformclient.ErrNotFound) {
				return distributor.Object{Name: name}, nil
			}
			return distributor.Object{Name: name, Value: o.Value, Version: o.Version}, err
		},
		List: func(ctx context.Context, kind string) ([]distributor.Object, error) {
			objects, _, err := r.platform.List(ctx, kind)
			return distributorObjects(objects), err
		},
		Write: func(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error) {
			version, err := r.platform.Put(ctx, kind, name, json.RawMessage(value), ifVersion)
			if errors.Is(err, platformclient.ErrConflict) {
				return 0, errors.Wrap(distributor.ErrConflict, err.Error())
			}
			return version, err
		},
		Watch: func(ctx context.Context, kind string, after uint64, wait time.Duration) ([]distributor.Object, uint64, error) {
			objects, revision, err := r.platform.Watch(ctx, kind, after, wait)
			return distributorObjects(objects), revision, err
		},
		Live: func(context.Context) ([]identifier.InstanceID, error) { return r.lister.ListedIDs() },
	}
}

func distributorObjects(objects []platformclient.Object) []distributor.Object {
	converted := make([]distributor.Object, 0, len(objects))
	for _, o := range objects {
		if !o.Deleted {
			converted = append(converted, distributor.Object{Name: o.Name, Value: o.Value, Version: o.Version})
		}
	}
	return converted
}

func (r *Runner) readInstances(ctx context.Context) ([]lister.Entry, error) {
	instances, err := r.platform.Instances(ctx)
	if err != nil {
		return nil, err
	}
	entries := make([]lister.Entry, len(instances))
	for i, o := range instances {
		entries[i] = lister.Entry{
			ID: o.ID, Address: o.Address, DataCentre: identifier.DataCentre(o.DataCentre),
			Role: lister.Role(o.Role), State: lister.State(o.State),
		}
	}
	return entries, nil
}

func (r *Runner) readRosters(ctx context.Context) ([]lister.Roster, error) {
	objects, _, err := r.platform.List(ctx, kindRoster)
	if err != nil {
		return nil, err
	}
	rosters := make([]lister.Roster, len(objects))
	for i, o := range objects {
		var roster distributor.Roster
		if err := json.Unmarshal(o.Value, &roster); err != nil {
			return nil, errors.Wrapf(err, "roster %s", o.Name)
		}
		rosters[i] = lister.Roster{
			DataCentre: identifier.DataCentre(o.Name), Members: roster.Members, Removals: roster.Removals,
		}
	}
	return rosters, nil
}

// readRosterMembers reads the current rosters from the platform. The sharer uses
// them to update the rate ledger.
func (r *Runner) readRosterMembers(ctx context.Context) (sharer.Members, error) {
	rosters, err := r.readRosters(ctx)
	return rosterMembers(rosters), err
}

// rosterMembers merges the members and the counts of removals of all rosters.
func rosterMembers(rosters []lister.Roster) sharer.Members {
	var members sharer.Members
	for _, roster := range rosters {
		members.Removals += roster.Removals
		for _, id := range roster.Members {
			members.Peers = append(members.Peers, sharer.Peer{ID: id, DataCentre: roster.DataCentre})
		}
	}
	return members
}

func (r *Runner) readLedger(ctx context.Context, shard int) (sharer.Ledger, uint64, error) {
	o, err := r.platform.Get(ctx, kindLedger, fmt.Sprint(shard))
	if errors.Is(err, platformclient.ErrNotFound) {
		return sharer.Ledger{}, 0, nil
	}
	if err != nil {
		return sharer.Ledger{}, 0, err
	}
	var ledger sharer.Ledger
	err = json.Unmarshal(o.Value, &ledger)
	return ledger, o.Version, errors.Wrapf(err, "ledger %d", shard)
}

func (r *Runner) updateLedger(ctx context.Context, shard int, ledger sharer.Ledger, ifVersion uint64) (uint64, error) {
	return r.platform.Put(ctx, kindLedger, fmt.Sprint(shard), ledger, ifVersion)
}
