package measurer

import (
	"fmt"
	"runtime"
	"time"

	"oleanderpulley/internal/coordination/lister"
	"oleanderpulley/internal/protocol/encoder"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// ConfigurationCosts measures the encoded size, memory and decoding time of a
// configuration against the number of workspaces with two keys each, and its
// memory against the number of services.
func ConfigurationCosts() ([]Fit, error) {
	var size, memory, decode, services []Point
	for _, n := range []int{1000, 2000, 4000, 8000} {
		data, err := buildConfiguration(n, 0).Encode()
		if err != nil {
			return nil, err
		}
		bytes, seconds, err := measureDecoding(data)
		if err != nil {
			return nil, err
		}
		size = append(size, Point{float64(n), float64(len(data))})
		memory = append(memory, Point{float64(n), bytes})
		decode = append(decode, Point{float64(n), seconds})
	}
	for _, n := range []int{500, 1000, 2000, 4000} {
		data, err := buildConfiguration(0, n).Encode()
		if err != nil {
			return nil, err
		}
		bytes, _, err := measureDecoding(data)
		if err != nil {
			return nil, err
		}
		services = append(services, Point{float64(n), bytes})
	}
	return []Fit{
		NewFit("configuration: encoded size", "bytes per workspace with two keys", size),
		NewFit("configuration: memory", "bytes per workspace with two keys", memory),
		NewFit("configuration: decoding", "s per workspace and change", decode),
		NewFit("configuration: memory", "bytes per service with three backend servers", services),
	}, nil
}

// buildConfiguration returns a configuration with the given number of
// workspaces and at least two services, since the workspaces use the second one.
func buildConfiguration(workspaces, services int) *configurer.Document {
	d := configurer.Empty()
	for i := range max(services, 2) {
		s := configurer.Service{BackendServers: map[identifier.BackendServerID]configurer.BackendServer{}}
		for j := range 3 {
			id := identifier.BackendServerID(fmt.Sprintf("rentas-core-%d-%d", i, j))
			s.BackendServers[id] = configurer.BackendServer{Address: "10.1.2.3:5432", DataCentre: "centro-a", Slots: 3, Connections: 50}
		}
		d.Services[identifier.ServiceName(fmt.Sprintf("rentas-core-%d", i))] = s
	}
	for i := range workspaces {
		name := identifier.WorkspaceName(fmt.Sprintf("workspace-%d", i))
		d.Workspaces[name] = configurer.Workspace{Services: []identifier.ServiceName{"rentas-core-1"}, Rate: 100, Burst: 200, Weight: 1}
		for j := range 2 {
			id := identifier.KeyID(fmt.Sprintf("%s-%d", name, j))
			d.Keys[id] = configurer.Key{Workspace: name, Hash: configurer.HashKey(string(id))}
		}
	}
	return d
}

// measureDecoding returns the heap size of a decoded configuration and the
// processor time of one decoding.
func measureDecoding(data []byte) (bytes, seconds float64, err error) {
	before := heap()
	d, err := configurer.Decode(data)
	if err != nil {
		return 0, 0, err
	}
	bytes = heap() - before
	runtime.KeepAlive(d)
	const rounds = 5
	start := processorTime()
	for range rounds {
		if _, err := configurer.Decode(data); err != nil {
			return 0, 0, err
		}
	}
	return bytes, (processorTime() - start).Seconds() / rounds, nil
}

// FleetStateCosts measures the size of a relay's fleet state message and the
// processor time of decoding it, against the number of changed entries.
func FleetStateCosts() ([]Fit, error) {
	e := &encoder.Encoder{}
	e.Register("fleet_state", lister.FleetState{})
	var size, cpu []Point
	for _, n := range []int{50, 100, 400, 1600} {
		state := lister.FleetState{Origin: 1 << 60, Revision: 1 << 40, Full: true, Age: 300 * time.Millisecond}
		for i := range n {
			state.Entries = append(state.Entries, lister.Entry{
				ID: fmt.Sprintf("centro-a-%d", i), Address: "10.1.2.3:6490", DataCentre: "centro-a", Role: lister.RoleEntry, State: lister.StateLive,
			})
		}
		data, err := e.Encode(1, 0, state)
		if err != nil {
			return nil, err
		}
		const rounds = 50
		start := processorTime()
		for range rounds {
			if _, _, err := e.Decode(data); err != nil {
				return nil, err
			}
		}
		size = append(size, Point{float64(n), float64(len(data))})
		cpu = append(cpu, Point{float64(n), (processorTime() - start).Seconds() / rounds})
	}
	return []Fit{
		NewFit("fleet view: answer", "bytes per changed entry", size),
		NewFit("fleet view: decoding", "s per changed entry", cpu),
	}, nil
}
