package measurer

import (
	"context"
	"fmt"
	"io"
)

// MeasureCapacity measures all slopes of docs/CAPACITY.md, writes them as Markdown
// tables and returns the costs of the measured fleets. It takes about five
// minutes.
func MeasureCapacity(ctx context.Context, out io.Writer) ([]Cost, error) {
	if err := writeComponentFits(ctx, out); err != nil {
		return nil, err
	}
	return writeFleetCosts(ctx, out)
}

// PlotPeerTraffic plots the peer traffic of an instance against the number of
// instances in the fleet, as an SVG file.
func PlotPeerTraffic(file string, costs []Cost) error {
	fit := fitCosts(costs, "instance: peer traffic", "", func(c Cost) bool { return c.Groups == 0 },
		func(c Cost) float64 { return float64(c.Instances) }, func(c Cost) float64 { return c.Bytes })
	return Plot(file, "Control traffic between instances at rest", "instances in the fleet", "bytes/s for each instance", fit)
}

func writeComponentFits(ctx context.Context, out io.Writer) error {
	configuration, err := ConfigurationCosts()
	if err != nil {
		return err
	}
	fleetState, err := FleetStateCosts()
	if err != nil {
		return err
	}
	links, err := LinkCosts(ctx)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(out, FitHeader)
	for _, f := range append(append(configuration, fleetState...), links...) {
		_, _ = fmt.Fprintln(out, f)
	}
	return nil
}

// fleetSizes lists the measured fleets as data centres, instances in each data
// centre, and groups in use. Each series varies one of the three.
var fleetSizes = [][3]int{
	{2, 2, 0}, {2, 4, 0}, {2, 8, 0}, {2, 16, 0},
	{1, 4, 0}, {4, 4, 0}, {8, 4, 0},
	{2, 4, 1}, {2, 4, 2}, {2, 4, 4}, {2, 4, 8},
}

func writeFleetCosts(ctx context.Context, out io.Writer) ([]Cost, error) {
	_, _ = fmt.Fprintf(out, "\n%s\n", CostHeader)
	var costs []Cost
	for _, s := range fleetSizes {
		c, err := FleetCost(ctx, s[0], s[1], s[2])
		if err != nil {
			return nil, err
		}
		costs = append(costs, c)
		_, _ = fmt.Fprintln(out, c)
	}
	_, _ = fmt.Fprintf(out, "\n%s\n", FitHeader)
	for _, f := range fleetFits(costs) {
		_, _ = fmt.Fprintln(out, f)
	}
	return costs, nil
}

// fleetFits fits the costs of a fleet against the instances of each data
// centre, the number of data centres, and the groups in use.
func fleetFits(costs []Cost) []Fit {
	varyInstances := func(c Cost) bool { return c.DataCentres == 2 && c.Groups == 0 }
	varyDataCentres := func(c Cost) bool { return c.Instances == 4*c.DataCentres && c.Groups == 0 }
	varyGroups := func(c Cost) bool { return c.Instances == 8 && c.DataCentres == 2 }
	instancesPerDataCentre := func(c Cost) float64 { return float64(c.Instances / c.DataCentres) }
	dataCentres := func(c Cost) float64 { return float64(c.DataCentres) }
	// The sizes start at 1, because NewFit weights each point by 1/size.
	groupsPlusOne := func(c Cost) float64 { return float64(c.Groups + 1) }
	platformCalls := func(c Cost) float64 { return c.Reads + c.Lists + c.Watches }
	return []Fit{
		fitCosts(costs, "instance: processor", "s/s per instance of the data centre", varyInstances, instancesPerDataCentre, func(c Cost) float64 { return c.Processor }),
		fitCosts(costs, "instance: peer traffic", "bytes/s per instance of the data centre", varyInstances, instancesPerDataCentre, func(c Cost) float64 { return c.Bytes }),
		fitCosts(costs, "instance: memory", "bytes per instance of the data centre", varyInstances, instancesPerDataCentre, func(c Cost) float64 { return c.Memory }),
		fitCosts(costs, "platform: reads, lists and watches", "calls/s per instance of each data centre", varyInstances, instancesPerDataCentre, platformCalls),
		fitCosts(costs, "instance: processor", "s/s per data centre", varyDataCentres, dataCentres, func(c Cost) float64 { return c.Processor }),
		fitCosts(costs, "instance: peer traffic", "bytes/s per data centre", varyDataCentres, dataCentres, func(c Cost) float64 { return c.Bytes }),
		fitCosts(costs, "platform: reads, lists and watches", "calls/s per data centre", varyDataCentres, dataCentres, platformCalls),
		fitCosts(costs, "instance: probe traffic", "bytes/s per group in use", varyGroups, groupsPlusOne, func(c Cost) float64 { return c.ProbeBytes }),
		fitCosts(costs, "instance: processor", "s/s per group in use", varyGroups, groupsPlusOne, func(c Cost) float64 { return c.Processor }),
	}
}

// fitCosts fits the included costs against a size.
func fitCosts(costs []Cost, name, unit string, include func(Cost) bool, size, cost func(Cost) float64) Fit {
	var points []Point
	for _, c := range costs {
		if include(c) {
			points = append(points, Point{size(c), cost(c)})
		}
	}
	return NewFit(name, unit, points)
}
