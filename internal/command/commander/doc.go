// Package commander defines the commands of the program, one file per command.
//
// Exit codes: 0 means success, 1 that the command or a check that it ran failed,
// 2 that the arguments are invalid, and 3 that the outcome of a configuration
// change is undecided; repeat the command with the same attempt id to settle it.
package commander
