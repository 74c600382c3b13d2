package backendserver_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"oleanderpulley/internal/fake/backendserver"
)

// BenchmarkSelect measures the throughput of the imitated server, to show
// whether it limits measurements of the proxy.
func BenchmarkSelect(b *testing.B) {
	g, err := backendserver.StartGroup("m", 1, nil)
	qt.Assert(b, err, qt.IsNil)
	defer func() { _ = g.Close() }()
	ctx := context.Background()
	setup, err := pgx.Connect(ctx, connectionURL(g.Servers()[0], ""))
	qt.Assert(b, err, qt.IsNil)
	_, err = setup.Exec(ctx, "CREATE TABLE k (id int8, v text); INSERT INTO k VALUES (1, 'x')")
	qt.Assert(b, err, qt.IsNil)
	b.RunParallel(func(pb *testing.PB) {
		c, err := pgx.Connect(ctx, connectionURL(g.Servers()[0], ""))
		if err != nil {
			b.Error(err)
			return
		}
		defer func() { _ = c.Close(ctx) }()
		for pb.Next() {
			var v string
			if err := c.QueryRow(ctx, "SELECT v FROM k WHERE id = $1", 1).Scan(&v); err != nil {
				b.Error(err)
				return
			}
		}
	})
	_ = setup.Close(ctx)
}
