package measurer

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"

	"oleanderpulley/internal/fake/launcher"
	"oleanderpulley/internal/state/identifier"
)

const (
	settlePeriod   = 3 * time.Second
	measuredPeriod = 8 * time.Second
)

// Cost holds the resources that a fleet uses. The rates are per second and per
// instance unless stated otherwise.
type Cost struct {
	Instances, DataCentres, Groups int
	Processor                      float64 // Processor seconds.
	Memory                         float64 // Bytes of heap and stacks.
	Messages, Bytes                float64 // Between instances, sent and received.
	ProbeBytes                     float64 // To and from backend servers.
	Reads, Writes, Watches, Lists  float64 // Calls to the platform, of all instances together.
}

// FleetCost measures a fleet that serves no load besides periodic reads. These keep
// the given number of groups in use; without groups there are no reads.
func FleetCost(ctx context.Context, dataCentres, instances, groups int) (Cost, error) {
	heapBefore := heap()
	l := &launcher.Launcher{Instances: instances}
	for i := range dataCentres {
		l.DataCentres = append(l.DataCentres, identifier.DataCentre(fmt.Sprintf("dc-%d", i)))
	}
	for i := range max(groups, 1) {
		l.Services = append(l.Services, identifier.ServiceName(fmt.Sprintf("rentas-core-%d", i)))
	}
	defer l.Close()
	if err := l.Start(ctx); err != nil {
		return Cost{}, err
	}
	readersCtx, stop := context.WithCancel(ctx)
	defer stop()
	if err := startReaders(readersCtx, l, groups); err != nil {
		return Cost{}, err
	}
	if err := sleep(ctx, settlePeriod); err != nil {
		return Cost{}, err
	}
	fleet := l.All()
	n := float64(len(fleet))
	c := Cost{Instances: len(fleet), DataCentres: dataCentres, Groups: groups, Memory: (heap() - heapBefore) / n}
	before := readCounters(l)
	start := processorTime()
	if err := sleep(ctx, measuredPeriod); err != nil {
		return Cost{}, err
	}
	instanceSeconds := n * measuredPeriod.Seconds()
	c.Processor = (processorTime() - start).Seconds() / instanceSeconds
	after := readCounters(l)
	c.Messages, c.Bytes = (after.Messages-before.Messages)/instanceSeconds, (after.Bytes-before.Bytes)/instanceSeconds
	c.ProbeBytes = (after.ProbeBytes - before.ProbeBytes) / instanceSeconds
	seconds := measuredPeriod.Seconds()
	c.Reads, c.Writes = (after.Reads-before.Reads)/seconds, (after.Writes-before.Writes)/seconds
	c.Watches, c.Lists = (after.Watches-before.Watches)/seconds, (after.Lists-before.Lists)/seconds
	return c, nil
}

// String returns a row of a Markdown table.
func (c Cost) String() string {
	return fmt.Sprintf("| %d | %d | %d | %.3f%% | %.2f MB | %.1f | %.0f | %.0f | %.1f | %.2f | %.1f | %.1f |",
		c.DataCentres, c.Instances, c.Groups, 100*c.Processor, c.Memory/1e6, c.Messages, c.Bytes, c.ProbeBytes, c.Reads, c.Writes, c.Watches, c.Lists)
}

// CostHeader is the header of the Markdown table whose rows are costs.
const CostHeader = "| data centres | instances | groups in use | processor | memory | messages/s | peer bytes/s | probe bytes/s | reads/s | writes/s | watches/s | lists/s |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|---|"

// readCounters returns the summed counters of all instances and those of the
// platform. Each message counts at both ends, since it costs both.
func readCounters(l *launcher.Launcher) Cost {
	var c Cost
	for _, in := range l.All() {
		traffic := in.Status().Traffic
		c.Messages += float64(traffic.PeerMessagesSent + traffic.PeerMessagesReceived)
		c.Bytes += float64(traffic.PeerBytesSent + traffic.PeerBytesReceived)
		c.ProbeBytes += float64(traffic.Probes.Sent + traffic.Probes.Received)
	}
	calls := l.Platform.Counters()
	c.Reads, c.Writes, c.Watches, c.Lists = float64(calls.Read), float64(calls.Write), float64(calls.Watch), float64(calls.List)
	return c
}

// startReaders opens a session for each pair of an instance and a group. Each
// session reads twice a second until the context ends.
func startReaders(ctx context.Context, l *launcher.Launcher, groups int) error {
	for i := range groups {
		for _, in := range l.All() {
			conn, err := pgx.Connect(ctx, l.URL(in, l.Services[i], "guadalajara"))
			if err != nil {
				return err
			}
			go readPeriodically(ctx, conn)
		}
	}
	return nil
}

// readPeriodically reads twice a second until the context ends.
func readPeriodically(ctx context.Context, conn *pgx.Conn) {
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		_, _ = conn.Exec(ctx, "SELECT 1") // The cost of a failed read is part of the measurement.
		select {
		case <-ctx.Done():
			_ = conn.Close(context.WithoutCancel(ctx))
			return
		case <-ticker.C:
		}
	}
}

// sleep waits for a duration or for the end of the context.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
