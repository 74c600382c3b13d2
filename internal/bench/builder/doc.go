// Package builder builds the program of an earlier commit from the history of the
// repository, so that tests can run two builds side by side.
package builder
