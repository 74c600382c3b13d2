package acceptor_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/rs/zerolog"

	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/protocol/refuser"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/acceptor"
	"oleanderpulley/internal/transport/pooler"
)

const testKey = "key-shop"

// document returns a configuration in which the workspaces "shop" and "desk"
// may use the service "rentals". The key of each workspace is "key-" followed
// by its name.
func document() *configurer.Document {
	services := []identifier.ServiceName{"rentals"}
	return &configurer.Document{
		Version:  1,
		Services: map[identifier.ServiceName]configurer.Service{"rentals": {}, "private": {}},
		Workspaces: map[identifier.WorkspaceName]configurer.Workspace{
			"shop": {Services: services, Rate: 1000, Burst: 1000},
			"desk": {Services: services, Rate: 1000, Burst: 1000},
		},
		Keys: map[identifier.KeyID]configurer.Key{
			"k1": {Workspace: "shop", Hash: configurer.HashKey(testKey)},
			"k2": {Workspace: "desk", Hash: configurer.HashKey("key-desk")},
		},
		Routes: map[string]configurer.Route{
			"catalogue": {Service: "rentals", Open: true, Workspace: "shop", MaxAge: configurer.Duration(2 * time.Second)},
			"deposits":  {Service: "rentals", NotRepeatable: true},
		},
	}
}

// fixture runs an acceptor in front of a primary s-1 and a replica s-2. The
// fields below mu control the results of the hooks.
type fixture struct {
	*acceptor.Acceptor
	address string
	servers []*backendserver.Server
	log     bytes.Buffer

	mu            sync.Mutex
	document      *configurer.Document
	viewFails     bool // View returns an error.
	holdsRight    func() bool
	admitError    error // Returned by Admit.
	positionLost  bool  // RouteRead refuses the floor as lost.
	sampleKnown   bool  // Floor returns a position.
	receivedError error
	term          identifier.Term
}

// newTestAcceptor returns an acceptor whose hooks route everything to the given
// address as the primary.
func newTestAcceptor(primaryAddress string) *acceptor.Acceptor {
	choice := acceptor.Target{Server: "s-1", Address: primaryAddress, Term: 1, Primary: true}
	view := configurer.View{Accepted: document()}
	return &acceptor.Acceptor{
		Instance: "i1",
		Pooler:   &pooler.Pooler{User: "proxy", Password: "secret", Application: "i1"},
		View:     func() (configurer.View, error) { return view, nil },
		Hooks: acceptor.Hooks{
			RouteRead:       func(identifier.ServiceName, acceptor.ReadRequirements) (acceptor.Target, error) { return choice, nil },
			RouteWrite:      func(identifier.ServiceName) (acceptor.Target, error) { return choice, nil },
			HoldsWriteRight: func(identifier.ServiceName, identifier.Term) bool { return true },
		},
	}
}

func serveAcceptor(t testing.TB, a *acceptor.Acceptor) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	served := make(chan error, 1)
	go func() { served <- a.Serve(l) }()
	t.Cleanup(func() {
		a.Close()
		a.Pooler.Close()
		qt.Assert(t, <-served, qt.IsNil)
	})
	return l.Addr().String()
}

func startFixture(t testing.TB, change func(*fixture)) *fixture {
	g, err := backendserver.StartGroup("s", 2, func(s *backendserver.Server) { s.Password = "secret" })
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { g.Close() })
	f := &fixture{servers: g.Servers(), document: document(), term: 1, sampleKnown: true, holdsRight: func() bool { return true }}
	for _, sql := range []string{
		"CREATE TABLE t (id int PRIMARY KEY, v text)",
		"INSERT INTO t VALUES (1, 'one'), (2, 'two')",
	} {
		f.execOnPrimary(t, sql)
	}
	a := newTestAcceptor(f.servers[0].Address())
	a.Log = zerolog.New(zerolog.SyncWriter(&f.log)).Level(zerolog.InfoLevel)
	a.View = f.view
	a.RouteRead, a.RouteWrite, a.SampledPosition = f.routeRead, f.routeWrite, f.floor
	a.HoldsWriteRight = func(identifier.ServiceName, identifier.Term) bool { return f.checkRight() }
	a.Admit = func(context.Context, identifier.WorkspaceName, float64) error { return f.hookError(&f.admitError) }
	a.AwaitMajority = func(context.Context, identifier.ServiceName, identifier.Term, time.Time) error {
		return f.hookError(&f.receivedError)
	}
	f.Acceptor = a
	if change != nil {
		change(f)
	}
	f.address = serveAcceptor(t, a)
	return f
}

func (f *fixture) execOnPrimary(t testing.TB, sql string) {
	ctx := timeLimit(t)
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://proxy:secret@%s/rentals?sslmode=disable", f.servers[0].Address()))
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, sql)
	qt.Assert(t, err, qt.IsNil)
}

func (f *fixture) view() (configurer.View, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.viewFails {
		return configurer.View{}, refuser.New(refuser.NotRun, "configuration is not current")
	}
	return configurer.View{Accepted: f.document}, nil
}

func (f *fixture) hookError(err *error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *err
}

func (f *fixture) checkRight() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holdsRight()
}

func (f *fixture) choice(i int) acceptor.Target {
	return acceptor.Target{
		Server: identifier.BackendServerID(f.servers[i].ID), Address: f.servers[i].Address(), Term: f.term, Primary: i == 0,
	}
}

// routeRead selects the replica once it has applied the floor.
func (f *fixture) routeRead(_ identifier.ServiceName, read acceptor.ReadRequirements) (acceptor.Target, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.positionLost && read.PositionKnown {
		return acceptor.Target{}, refuser.New(refuser.PositionLost, "")
	}
	if !read.PositionKnown && read.MaxAge == 0 {
		return f.choice(0), nil
	}
	for identifier.LogOffset(f.servers[1].Status().Applied) < read.Floor.Offset && time.Now().Before(read.Deadline) {
		<-time.After(time.Millisecond)
	}
	return f.choice(1), nil
}

func (f *fixture) routeWrite(identifier.ServiceName) (acceptor.Target, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.choice(0), nil
}

func (f *fixture) floor(identifier.ServiceName, time.Time) (identifier.Position, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return identifier.Position{Term: f.term, Offset: identifier.LogOffset(f.servers[0].Status().Applied)}, f.sampleKnown
}

func (f *fixture) url() string {
	return fmt.Sprintf("postgres://shop:%s@%s/rentals?sslmode=disable", testKey, f.address)
}

func timeLimit(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}
