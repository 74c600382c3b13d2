package launcher

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/distributor"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// ChangeConfiguration applies a change to the current configuration and proposes the result
// through the first instance. It returns once the proposal is accepted.
func (l *Launcher) ChangeConfiguration(ctx context.Context, attempt string, change func(*configurer.Document)) error {
	in := l.All()[0]
	base := in.Status().Configuration.Version
	_, err := in.Propose(ctx, distributor.Submission{
		Base: base, Attempt: attempt, Author: "launcher", Content: []byte(attempt),
		Apply: func(old *configurer.Document) (*configurer.Document, error) { return applyChange(old, change) },
	})
	return err
}

// applyChange returns the next version of a document with a change applied. The
// change is made to a decoded copy, and the changed copy is encoded and decoded
// again.
func applyChange(old *configurer.Document, change func(*configurer.Document)) (*configurer.Document, error) {
	data, err := old.Encode()
	if err != nil {
		return nil, err
	}
	d, err := configurer.Decode(data)
	if err != nil {
		return nil, err
	}
	change(d)
	if data, err = d.Encode(); err != nil {
		return nil, err
	}
	if d, err = configurer.Decode(data); err != nil {
		return nil, err
	}
	revised := old.NextWithContent(d)
	return revised, revised.Validate()
}

// AddWorkspace adds a workspace with a new key to the configuration and waits
// until every instance serves it, which requires that its rate has been issued.
func (l *Launcher) AddWorkspace(ctx context.Context, name identifier.WorkspaceName, w configurer.Workspace) error {
	if len(w.Services) == 0 {
		w.Services = l.Services
	}
	l.Keys[name] = rand.Text()
	if err := l.ChangeConfiguration(ctx, "add-"+rand.Text(), func(d *configurer.Document) {
		d.Workspaces[name] = w
		d.Keys[identifier.KeyID(name)] = configurer.Key{Workspace: name, Hash: configurer.HashKey(l.Keys[name])}
	}); err != nil {
		return err
	}
	return l.waitWorkspaceServed(ctx, name)
}

// proposeInitialConfiguration proposes the configuration that the launcher's
// fields describe, and repeats a refused proposal until readyTimeout.
func (l *Launcher) proposeInitialConfiguration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	l.Keys = map[identifier.WorkspaceName]string{}
	for {
		err := l.ChangeConfiguration(ctx, "launcher-"+rand.Text(), l.fillDocument)
		var refused *distributor.RefusedError
		if !errors.As(err, &refused) || ctx.Err() != nil {
			return err
		}
		// The proposal is refused while instances that have just started have not
		// yet joined the roster.
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return err
		}
	}
}

// fillDocument replaces the services, workspaces, keys and routes of a document
// by those of the launcher, and creates the missing keys.
func (l *Launcher) fillDocument(d *configurer.Document) {
	d.Services = map[identifier.ServiceName]configurer.Service{}
	for name, group := range l.Groups {
		service := configurer.Service{BackendServers: map[identifier.BackendServerID]configurer.BackendServer{}}
		for _, s := range group.Servers() {
			service.BackendServers[identifier.BackendServerID(s.ID)] = configurer.BackendServer{
				Address: s.Address(), DataCentre: identifier.DataCentre(s.DataCentre), Slots: l.Slots, Connections: l.Connections,
			}
		}
		d.Services[name] = service
	}
	d.Workspaces = map[identifier.WorkspaceName]configurer.Workspace{}
	d.Keys = map[identifier.KeyID]configurer.Key{}
	for name, w := range l.Workspaces {
		if len(w.Services) == 0 {
			w.Services = l.Services
		}
		d.Workspaces[name] = w
		if l.Keys[name] == "" {
			l.Keys[name] = rand.Text()
		}
		d.Keys[identifier.KeyID(name)] = configurer.Key{Workspace: name, Hash: configurer.HashKey(l.Keys[name])}
	}
	d.Routes = l.Routes
}
