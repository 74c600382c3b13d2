package commander

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/fake/launcher"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

const (
	demoService   = identifier.ServiceName("rentas-core-1")
	demoWorkspace = identifier.WorkspaceName("guadalajara")
	demoTimeout   = 25 * time.Second // The demo is documented to end within 30 s.
	demoLag       = 200 * time.Millisecond
)

// errStepFailed is returned when a step of the demo fails.
var errStepFailed = errors.New("demo step failed")

func newDemo() *cobra.Command {
	var exit bool
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run two instances with fakes of the platform and the backend servers",
		Long: "Run two instances with fakes of the platform and of three backend servers, all in this process and on\n" +
			"loopback, and run a scenario against them. Without --exit the installation keeps serving until SIGINT.",
		Example: "  oleanderpulley demo --exit",
		Args:    exactArgs(0),
	}
	c.Flags().BoolVar(&exit, "exit", false, "exit after the scenario; exit code 1 if a step fails")
	c.RunE = func(c *cobra.Command, _ []string) error {
		return runDemo(c.Context(), c.OutOrStdout(), exit)
	}
	return c
}

func runDemo(ctx context.Context, out io.Writer, exit bool) error {
	l := &launcher.Launcher{
		DataCentres:     []identifier.DataCentre{"centro-a", "centro-b"},
		Services:        []identifier.ServiceName{demoService},
		ConfigureServer: func(s *backendserver.Server) { s.ApplyLag = demoLag },
		AdminToken:      rand.Text(),
	}
	defer l.Close()
	stepsCtx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := l.Start(stepsCtx); err != nil {
		return err
	}
	d := &demo{launcher: l, out: out}
	d.printf("connect:  psql %q\n", l.URL(l.All()[0], demoService, demoWorkspace))
	d.printf("admin:    http://%s with the bearer token %s\n", l.All()[0].Addresses().Admin, l.AdminToken)
	d.printf("status:   http://%s/status\n\n", l.All()[0].Addresses().Metrics)
	for _, step := range []struct {
		title string
		run   func(context.Context) error
	}{
		{"write at one instance, read it back at the other", d.checkReadAcrossInstances},
		{"withdraw a key under an open connection", d.checkKeyWithdrawal},
		{"stop the primary", d.checkFailover},
	} {
		d.printf("%s\n", step.title)
		if err := step.run(stepsCtx); err != nil {
			d.printf("  FAILED: %v\n", err)
			return errors.Wrapf(errStepFailed, "%s: %v", step.title, err)
		}
	}
	d.printf("all steps held\n")
	if exit {
		return nil
	}
	d.printf("serving until SIGINT\n")
	serveCtx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-serveCtx.Done()
	return nil
}

// demo runs the steps of the scenario against an installation.
type demo struct {
	launcher *launcher.Launcher
	out      io.Writer
}

// checkReadAcrossInstances writes through the first instance and immediately reads
// through the second one, over a connection that carries no state from the first.
func (d *demo) checkReadAcrossInstances(ctx context.Context) error {
	instances := d.launcher.All()
	writer, err := d.connect(ctx, instances[0])
	if err != nil {
		return err
	}
	defer closeConnection(ctx, writer)
	if _, err := writer.Exec(ctx, "CREATE TABLE slots (id text PRIMARY KEY, state text)"); err != nil {
		return err
	}
	if _, err := writer.Exec(ctx, "INSERT INTO slots (id, state) VALUES ('fitting-1', 'booked')"); err != nil {
		return err
	}
	reader, err := d.connect(ctx, instances[1])
	if err != nil {
		return err
	}
	defer closeConnection(ctx, reader)
	start := time.Now()
	var state string
	if err := reader.QueryRow(ctx, "SELECT state FROM slots WHERE id = 'fitting-1'").Scan(&state); err != nil {
		return err
	}
	if state != "booked" {
		return errors.Errorf("read state %q, not the one written", state)
	}
	d.printf("  %s wrote, %s read %q after %s; replicas lag %s\n", instances[0].ID, instances[1].ID, state, elapsedSince(start), demoLag)
	return nil
}

// checkKeyWithdrawal withdraws the key of a second workspace that has an open
// connection, which must end with SQLSTATE 28000.
func (d *demo) checkKeyWithdrawal(ctx context.Context) error {
	const workspace = identifier.WorkspaceName("puebla")
	if err := d.launcher.AddWorkspace(ctx, workspace, configurer.Workspace{Rate: 100, Burst: 100}); err != nil {
		return err
	}
	conn, err := pgx.Connect(ctx, d.launcher.URL(d.launcher.All()[1], demoService, workspace))
	if err != nil {
		return err
	}
	defer closeConnection(ctx, conn)
	start := time.Now()
	if err := d.launcher.ChangeConfiguration(ctx, "withdraw-puebla", func(c *configurer.Document) {
		delete(c.Keys, identifier.KeyID(workspace))
	}); err != nil {
		return err
	}
	acceptedAfter := elapsedSince(start)
	var pgErr *pgconn.PgError
	for err == nil {
		_, err = conn.Exec(ctx, "SELECT 1")
	}
	if !errors.As(err, &pgErr) || pgErr.Code != "28000" {
		return errors.Errorf("connection ended without SQLSTATE 28000: %v", err)
	}
	d.printf("  withdrawal accepted after %s; the connection at %s ended after %s with SQLSTATE %s\n",
		acceptedAfter, d.launcher.All()[1].ID, elapsedSince(start), pgErr.Code)
	return nil
}

// checkFailover kills the primary and retries a write until one is acknowledged.
func (d *demo) checkFailover(ctx context.Context) error {
	conn, err := d.connect(ctx, d.launcher.All()[0])
	if err != nil {
		return err
	}
	defer closeConnection(ctx, conn)
	oldPrimary := d.launcher.Groups[demoService].Servers()[0]
	start := time.Now()
	if err := oldPrimary.Kill(true); err != nil {
		return err
	}
	refusedWrites := 0
	for n := 0; ; n++ {
		_, err := conn.Exec(ctx, fmt.Sprintf("INSERT INTO slots (id, state) VALUES ('after-%d', 'booked')", n))
		if err == nil {
			break
		}
		var pgErr *pgconn.PgError
		if !errors.As(err, &pgErr) {
			return err
		}
		refusedWrites++
		select {
		case <-ctx.Done():
			return errors.Errorf("no write was acknowledged by a new primary in time, last error: %v", err)
		case <-time.After(100 * time.Millisecond):
		}
	}
	d.printf("  %s stopped; %d writes refused; the next primary acknowledged a write after %s\n", oldPrimary.ID, refusedWrites, elapsedSince(start))
	return nil
}

func (d *demo) connect(ctx context.Context, instance *launcher.Instance) (*pgx.Conn, error) {
	return pgx.Connect(ctx, d.launcher.URL(instance, demoService, demoWorkspace))
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format, args...)
}

func closeConnection(ctx context.Context, conn *pgx.Conn) {
	_ = conn.Close(ctx) // The step is complete; the server closes the session in any case.
}

func elapsedSince(start time.Time) time.Duration {
	return time.Since(start).Round(time.Millisecond)
}
