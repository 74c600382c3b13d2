package launcher

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
)

// waitWorkspacesServed waits until each instance has served a request of each
// workspace. The rate of a new workspace is issued shortly after the
// configuration with it is accepted, and the first request at an instance opens
// the links over which instances exchange shares of the rate.
func (l *Launcher) waitWorkspacesServed(ctx context.Context) error {
	for workspace := range l.Workspaces {
		if err := l.waitWorkspaceServed(ctx, workspace); err != nil {
			return err
		}
	}
	return nil
}

// waitWorkspaceServed waits until each instance has served a request of a
// workspace, for at most readyTimeout.
func (l *Launcher) waitWorkspaceServed(ctx context.Context, workspace identifier.WorkspaceName) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, in := range l.All() {
		if err := l.waitServedByInstance(ctx, in, workspace); err != nil {
			return err
		}
	}
	return nil
}

// waitServedByInstance repeats a statement of a workspace at an instance until it
// succeeds.
func (l *Launcher) waitServedByInstance(ctx context.Context, in *Instance, workspace identifier.WorkspaceName) error {
	conn, err := pgx.Connect(ctx, l.URL(in, l.Services[0], workspace))
	if err != nil {
		return errors.Wrapf(err, "workspace %s at instance %s", workspace, in.ID)
	}
	defer func() { _ = conn.Close(ctx) }()
	for {
		if _, err = conn.Exec(ctx, "SELECT 1"); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "workspace %s at instance %s", workspace, in.ID)
		case <-time.After(pollInterval):
		}
	}
}
