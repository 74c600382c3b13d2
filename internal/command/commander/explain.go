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

	"oleanderpulley/internal/protocol/loader"
	"oleanderpulley/internal/transport/logger"
)

// errRequestNotLogged is returned for a request id that occurs in no log line.
var errRequestNotLogged = errors.New("no log line contains the request id")

// Periods before the first and after the last line of a request within which
// state changes are shown.
const (
	stateChangesBefore = 10 * time.Second
	// A primary that did not respond to a request is replaced some seconds
	// after it.
	stateChangesAfter = 5 * time.Second
)

// stateChangeEvents are the events that report a change of an instance's state or
// of its view of the other components.
var stateChangeEvents = []string{
	"started", "stopped", "drain_started", "drain_ended", "reload_requested", "store_lost", "store_reached",
	"configuration_read", "primary_lost", "replacement", "replacement_withheld", "candidate_silent", "successor_behind",
	"lines_dropped", "forwarded_transaction_expired",
}

func newExplain() *cobra.Command {
	var id string
	c := &cobra.Command{
		Use:   "explain --id ID FILE...",
		Short: "Show the log lines that explain a request",
		Long: "Show the lines of a request and the state changes of the instances that handled it, from 10 s before it\n" +
			"to 5 s after it, in order of time. Files are logs of instances.",
		Example: "  oleanderpulley explain --id 5c0e7a21d94b36f8 entry-*.log",
		Args:    cobra.MinimumNArgs(1),
	}
	c.Flags().StringVar(&id, "id", "", "id of the request")
	c.RunE = func(c *cobra.Command, files []string) error {
		if id == "" {
			return errors.Wrap(errUsage, "--id is missing")
		}
		lines, err := readLogs(files)
		if err != nil {
			return err
		}
		if logged := loggedID(id); logged != id {
			id = logged
			c.PrintErrln("the id is not logged whole: logs have U+FFFD for each byte that is not UTF-8 and cut long ids, so that the lines may be those of other requests as well")
		}
		return printExplanation(c.OutOrStdout(), id, lines)
	}
	return c
}

// loggedID returns the id as it is logged: with U+FFFD for each byte that is not UTF-8,
// and cut if it is long.
func loggedID(id string) string {
	return logger.Shortened(string([]rune(id)))
}

// logLine is a logged event.
type logLine struct {
	text   string
	at     time.Time
	fields map[string]string
}

// readLogs returns the lines of all files that have a valid time, ordered by time.
func readLogs(files []string) ([]logLine, error) {
	var lines []logLine
	for _, name := range files {
		f, err := os.Open(name) //nolint:gosec // The operator names the files.
		if err != nil {
			return nil, errors.Wrap(err, "opening the log")
		}
		lines, err = appendLog(lines, f)
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "reading the log %s", name)
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	return lines, nil
}

// appendLog appends the lines of a log that have a valid time. A line may be of any
// length, as it may have a text of a client with an escape for each byte.
func appendLog(lines []logLine, log io.Reader) ([]logLine, error) {
	reader := bufio.NewReader(log)
	for {
		text, err := reader.ReadString('\n')
		text = loader.CutLineEnd(text)
		fields := logger.Fields(text)
		if at, timeErr := time.Parse(time.RFC3339Nano, fields["time"]); timeErr == nil {
			lines = append(lines, logLine{text, at, fields})
		}
		if errors.Is(err, io.EOF) {
			return lines, nil
		}
		if err != nil {
			return lines, err
		}
	}
}

// printExplanation writes the lines of the request and the state changes around
// it, of the instances that handled or were forwarded the request.
func printExplanation(w io.Writer, id string, lines []logLine) error {
	var first, last time.Time
	handledBy := map[string]bool{}
	for _, l := range lines {
		if l.fields["id"] != id {
			continue
		}
		if first.IsZero() {
			first = l.at
		}
		last = l.at
		handledBy[l.fields["instance"]] = true
		if peer := l.fields["forwarded_to"]; peer != "" {
			handledBy[peer] = true
		}
	}
	if first.IsZero() {
		return errors.Wrapf(errRequestNotLogged, "id %q", id)
	}
	for _, l := range lines {
		inPeriod := l.at.After(first.Add(-stateChangesBefore)) && l.at.Before(last.Add(stateChangesAfter))
		isStateChange := handledBy[l.fields["instance"]] && inPeriod && slices.Contains(stateChangeEvents, l.fields["event"])
		if l.fields["id"] != id && !isStateChange {
			continue
		}
		if _, err := fmt.Fprintln(w, l.text); err != nil {
			return errors.Wrap(err, "writing")
		}
	}
	return nil
}
