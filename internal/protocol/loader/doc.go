// Package loader loads the settings of an instance. In increasing order of
// precedence, they come from defaults, a file of JSON with comments, environment
// variables and command-line flags.
//
// A setting is a field of [Settings] or of one of its nested structs. The path of
// a setting joins the JSON names with dots, such as "clients.listen". The name of
// its environment variable is OLEANDERPULLEY_ and the path in upper case with
// underscores, such as OLEANDERPULLEY_CLIENTS_LISTEN.
//
// Invariants: an unknown key is an error that gives its line and column;
// durations and sizes have a unit and an allowed range; a secret is read from a
// file and is never printed.
package loader
