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

// Change has a changed configuration accepted, made from the one in force.
func (l *Launcher) Change(ctx context.Context, attempt string, change func(*configurer.Document)) error {
	in := l.All()[0]
	base := in.Status().Configuration.Version
	_, err := in.Propose(ctx, distributor.Submission{
		Base: base, Attempt: attempt, Author: "launcher", Content: []byte(attempt),
		Apply: func(old *configurer.Document) (*configurer.Document, error) { return changed(old, change) },
	})
	return err
}

// changed returns the next version of a document with the change made.
func changed(old *configurer.Document, change func(*configurer.Document)) (*configurer.Document, error) {
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
	next := old.NextWithContent(d)
	return next, next.Validate()
}

// AddWorkspace has a workspace with a key accepted and waits until its rate
// was issued.
func (l *Launcher) AddWorkspace(ctx context.Context, name identifier.WorkspaceName, w configurer.Workspace) error {
	if len(w.Services) == 0 {
		w.Services = l.Services
	}
	l.Keys[name] = rand.Text()
	if err := l.Change(ctx, "add-"+rand.Text(), func(d *configurer.Document) {
		d.Workspaces[name] = w
		d.Keys[identifier.KeyID(name)] = configurer.Key{Workspace: name, Hash: configurer.HashKey(l.Keys[name])}
	}); err != nil {
		return err
	}
	return l.awaitShare(ctx, name)
}

func (l *Launcher) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	l.Keys = map[identifier.WorkspaceName]string{}
	for {
		err := l.Change(ctx, "launcher-"+rand.Text(), l.fill)
		var refused *distributor.RefusedError
		if !errors.As(err, &refused) || ctx.Err() != nil {
			return err
		}
		// Instances that have just started may not have joined their roster.
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return err
		}
	}
}

func (l *Launcher) fill(d *configurer.Document) {
	d.Services = map[identifier.ServiceName]configurer.Service{}
	for name, g := range l.Groups {
		service := configurer.Service{BackendServers: map[identifier.BackendServerID]configurer.BackendServer{}}
		for _, s := range g.Servers() {
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
