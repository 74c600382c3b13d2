// Command oleanderpulley is a PostgreSQL proxy with session consistency.
package main

import (
	"context"
	"os"

	"oleanderpulley/internal/command/commander"
)

func main() {
	os.Exit(commander.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
