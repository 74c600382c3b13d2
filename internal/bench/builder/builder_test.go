package builder_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/bench/builder"
)

// repository creates a repository with two commits of a program. Each prints its
// number; the third commit does not build. It returns the commits.
func repository(t *testing.T) (directory string, commits []string) {
	t.Helper()
	directory = t.TempDir()
	git(t, directory, "init", "--quiet")
	source := filepath.Join(directory, "cmd", "oleanderpulley", "main.go")
	qt.Assert(t, os.MkdirAll(filepath.Dir(source), 0o750), qt.IsNil)
	qt.Assert(t, os.WriteFile(filepath.Join(directory, "go.mod"), []byte("module oleanderpulley\n"), 0o600), qt.IsNil)
	for _, body := range []string{`println("one")`, `println("two")`, `does not build`} {
		qt.Assert(t, os.WriteFile(source, []byte("package main\n\nfunc main() { "+body+" }\n"), 0o600), qt.IsNil)
		git(t, directory, "add", ".")
		git(t, directory, "-c", "user.name=a", "-c", "user.email=a@example.com", "commit", "--quiet", "-m", body)
		commits = append(commits, git(t, directory, "rev-parse", "--short", "HEAD"))
	}
	return directory, commits
}

func git(t *testing.T, directory string, arguments ...string) string {
	t.Helper()
	c := exec.Command("git", arguments...)
	c.Dir = directory
	for _, variable := range os.Environ() {
		if !strings.HasPrefix(variable, "GIT_") {
			c.Env = append(c.Env, variable)
		}
	}
	output, err := c.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	return strings.TrimSpace(string(output))
}

// Guards against a build of the wrong commit, worktrees that stay behind and the use of git's environment of a hook.
func TestBuildOfAnEarlierCommit(t *testing.T) {
	directory, commits := repository(t)
	hook := filepath.Join(directory, ".git", "hooks", "post-checkout")
	qt.Assert(t, os.MkdirAll(filepath.Dir(hook), 0o750), qt.IsNil)
	qt.Assert(t, os.WriteFile(hook, []byte("#!/bin/sh\nexit 1\n"), 0o700), qt.IsNil) //nolint:gosec // A hook is executable.
	t.Setenv("GIT_DIR", "/nonexistent")
	t.Setenv("GIT_INDEX_FILE", filepath.Join(directory, "other-index"))
	t.Setenv("GIT_QUARANTINE_PATH", "/nonexistent")
	for i, want := range []string{"one", "two"} {
		program := filepath.Join(t.TempDir(), "program")
		qt.Assert(t, builder.Builder{Repository: directory}.Build(t.Context(), commits[i], program), qt.IsNil)
		output, err := exec.Command(program).CombinedOutput() //nolint:gosec // The test built the program.
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, strings.TrimSpace(string(output)), qt.Equals, want)
	}
	assertOneWorktree(t, directory)
}

// Guards against a failed build that is taken for a success or leaves a worktree.
func TestBuildReportsFailures(t *testing.T) {
	directory, commits := repository(t)
	program := filepath.Join(t.TempDir(), "program")
	b := builder.Builder{Repository: directory}
	qt.Assert(t, b.Build(t.Context(), "0123abc", program), qt.ErrorIs, builder.ErrNoCommit)
	qt.Assert(t, b.Build(t.Context(), commits[2], program), qt.ErrorMatches, "(?s)building commit .*")
	_, err := os.Stat(program)
	qt.Assert(t, err, qt.ErrorIs, os.ErrNotExist)
	assertOneWorktree(t, directory)
}

func assertOneWorktree(t *testing.T, directory string) {
	t.Helper()
	qt.Assert(t, strings.Count(git(t, directory, "worktree", "list", "--porcelain"), "worktree "), qt.Equals, 1)
}
