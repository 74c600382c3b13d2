package commander

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"oleanderpulley/internal/transport/logger"
)

// errNoLines reports an id that no line of the log names.
var errNoLines = errors.New("no line names the request")

// Periods around the lines of a request within which changes of belief count.
const (
	beliefBefore = 10 * time.Second
	// A primary that left a request without an answer is replaced some
	// seconds after it.
	beliefAfter = 5 * time.Second
)

// beliefEvents are the events that tell what an instance began to believe.
var beliefEvents = []string{
	"started", "stopped", "drain_started", "drain_ended", "reload_requested", "store_lost", "store_reached",
	"configuration_read", "primary_lost", "replacement", "replacement_withheld", "candidate_silent", "successor_behind",
	"lines_dropped", "forwarded_transaction_expired",
}

func newExplain() *cobra.Command {
	var id string
	c := &cobra.Command{
		Use:   "explain --id ID FILE...",
		Short: "Show the log lines that explain a request",
		Long: "Show the lines of one request and, of the instances that handled it, the changes of what they\n" +
			"believed from 10 s before it to 5 s after it, in the order of time. Files are logs of instances.",
		Example: "  oleanderpulley explain --id 5c0e7a21d94b36f8 entry-*.log",
		Args:    cobra.MinimumNArgs(1),
	}
	c.Flags().StringVar(&id, "id", "", "id of the request")
	c.RunE = func(c *cobra.Command, files []string) error {
		if id == "" {
			return errors.Wrap(errUsage, "--id is missing")
		}
		lines, err := readLog(files)
		if err != nil {
			return err
		}
		return explain(c.OutOrStdout(), id, lines)
	}
	return c
}

// logLine is one event of a log.
type logLine struct {
	text   string
	at     time.Time
	fields map[string]string
}

func readLog(files []string) ([]logLine, error) {
	var lines []logLine
	for _, name := range files {
		f, err := os.Open(name) //nolint:gosec // The operator names the files.
		if err != nil {
			return nil, errors.Wrap(err, "reading the log")
		}
		scanner := bufio.NewScanner(f)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			fields := logger.Fields(scanner.Text())
			at, err := time.Parse(time.RFC3339Nano, fields["time"])
			if err == nil {
				lines = append(lines, logLine{scanner.Text(), at, fields})
			}
		}
		err = scanner.Err()
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "reading %s", name)
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	return lines, nil
}

func explain(w io.Writer, id string, lines []logLine) error {
	var first, last time.Time
	handled := map[string]bool{}
	for _, l := range lines {
		if l.fields["id"] != id {
			continue
		}
		if first.IsZero() {
			first = l.at
		}
		last = l.at
		handled[l.fields["instance"]] = true
		if peer := l.fields["forwarded_to"]; peer != "" {
			handled[peer] = true
		}
	}
	if first.IsZero() {
		return errors.Wrapf(errNoLines, "id %s", id)
	}
	for _, l := range lines {
		inTime := l.at.After(first.Add(-beliefBefore)) && l.at.Before(last.Add(beliefAfter))
		belief := handled[l.fields["instance"]] && inTime && slices.Contains(beliefEvents, l.fields["event"])
		if l.fields["id"] != id && !belief {
			continue
		}
		if _, err := fmt.Fprintln(w, l.text); err != nil {
			return errors.Wrap(err, "writing")
		}
	}
	return nil
}
