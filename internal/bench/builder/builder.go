package builder

import (
	"context"
	stderrors "errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrNoCommit is returned if the history of the repository does not have the commit.
var ErrNoCommit = errors.New("commit is not in the history of this clone; a shallow clone lacks older commits")

// removalTimeout bounds the removal of the worktree.
const removalTimeout = 30 * time.Second

// Builder builds programs of the repository that Repository is in. "" is the
// working directory.
type Builder struct {
	Repository string
}

// Build builds ./cmd/oleanderpulley of the commit in a temporary worktree, which is
// removed afterwards, and writes the executable to the file output.
func (b Builder) Build(ctx context.Context, commit, output string) (err error) {
	output, err = filepath.Abs(output)
	if err != nil {
		return errors.Wrapf(err, "resolving path %s", output)
	}
	if _, err := b.git(ctx, "rev-parse", "--verify", "--quiet", "--end-of-options", commit+"^{commit}"); err != nil {
		return errors.Wrapf(ErrNoCommit, "commit %q (%v)", commit, err)
	}
	directory, err := os.MkdirTemp("", "worktree")
	if err != nil {
		return errors.Wrap(err, "creating a directory for the worktree")
	}
	defer func() { err = stderrors.Join(err, errors.Wrap(os.RemoveAll(directory), "removing the worktree")) }()
	// Hooks of the repository, such as post-checkout, must not run.
	if _, err := b.git(ctx, "-c", "core.hooksPath=/dev/null", "worktree", "add", "--quiet", "--force", "--detach", directory, commit); err != nil {
		return errors.Wrapf(err, "checking out commit %s", commit)
	}
	defer func() { err = stderrors.Join(err, b.remove(ctx, directory)) }()
	// Without the path of the worktree in them, the packages come from the build cache
	// after the first build of the commit.
	build := exec.CommandContext(ctx, "go", "build", "-trimpath", "-buildvcs=false", "-o", output, "./cmd/oleanderpulley") //nolint:gosec // The caller chooses the path.
	build.Dir = directory
	_, err = run(build)
	return errors.Wrapf(err, "building commit %s", commit)
}

// remove removes the worktree, also after the build was cancelled.
func (b Builder) remove(ctx context.Context, directory string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), removalTimeout)
	defer cancel()
	_, err := b.git(ctx, "worktree", "remove", "--force", directory)
	return errors.Wrapf(err, "removing worktree %s", directory)
}

func (b Builder) git(ctx context.Context, arguments ...string) (string, error) {
	c := exec.CommandContext(ctx, "git", arguments...) //nolint:gosec // The arguments are those of this package.
	c.Dir = b.Repository
	return run(c)
}

// run runs the command without the environment that git gives to hooks, which names
// the repository, the index and the objects that commands use.
func run(c *exec.Cmd) (string, error) {
	for _, variable := range os.Environ() {
		if !strings.HasPrefix(variable, "GIT_") {
			c.Env = append(c.Env, variable)
		}
	}
	output, err := c.CombinedOutput()
	return string(output), errors.Wrapf(err, "%s: %s", strings.Join(c.Args, " "), strings.TrimSpace(string(output)))
}
