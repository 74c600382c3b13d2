package runner_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"oleanderpulley/internal/fake/launcher"
)

// Guards against components that work alone but not together: a row written
// through one instance must be read back through another instance, and no backend
// server may receive the client's key as a password.
func TestWholePath(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	l := &launcher.Launcher{Instances: 2}
	t.Cleanup(l.Close)
	qt.Assert(t, l.Start(ctx), qt.IsNil)
	a, b := l.All()[0], l.All()[1]

	first, err := pgx.Connect(ctx, l.URL(a, "rentas-core-1", "guadalajara"))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = first.Close(ctx) }()
	_, err = first.Exec(ctx, "CREATE TABLE slots (id text PRIMARY KEY, state text)")
	qt.Assert(t, err, qt.IsNil)
	_, err = first.Exec(ctx, "INSERT INTO slots (id, state) VALUES ($1, $2)", "fitting-1", "booked")
	qt.Assert(t, err, qt.IsNil)

	second, err := pgx.Connect(ctx, l.URL(b, "rentas-core-1", "guadalajara"))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = second.Close(ctx) }()
	var state string
	err = second.QueryRow(ctx, "SELECT state FROM slots WHERE id = $1", "fitting-1").Scan(&state)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, state, qt.Equals, "booked")

	for _, s := range l.Groups["rentas-core-1"].Servers() {
		for _, login := range s.Logins() {
			qt.Assert(t, login.Password, qt.Not(qt.Equals), l.Keys["guadalajara"])
		}
	}
}
