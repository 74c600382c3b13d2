package configurer_test

import (
	"errors"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// Guards against an evacuation that has no effect because of a wrong name, and
// against an error that does not name the field.
func TestEvacuatedDataCentresAreValidated(t *testing.T) {
	d := mustDecode(t, baseDocument)
	for patch, want := range map[string]string{
		`{"evacuated_data_centres":["centro-x"]}`:                              `.*/evacuated_data_centres/0: data centre "centro-x" has no backend servers`,
		`{"evacuated_data_centres":["centro-a","centro-a"]}`:                   `.*/evacuated_data_centres/1: data centre "centro-a" is listed twice`,
		`{"evacuated_data_centres":"centro-a"}`:                                `.*/evacuated_data_centres: is not a list`,
		`{"evacuated_data_centres":[7]}`:                                       `.*/evacuated_data_centres/0: is not a text`,
		`[{"op":"add","path":"/evacuated_data_centres","value":["centro-x"]}]`: `.*/evacuated_data_centres/0: .*`,
	} {
		apply := d.MergePatch
		if patch[0] == '[' {
			apply = d.Patch
		}
		_, err := apply([]byte(patch))
		qt.Check(t, errors.As(err, &configurer.FieldErrors{}), qt.IsTrue, qt.Commentf("%s", patch))
		qt.Check(t, err, qt.ErrorMatches, want)
	}
	evacuated, err := d.Evacuate("centro-a")
	qt.Assert(t, err, qt.IsNil)
	_, err = evacuated.Evacuate("centro-a")
	qt.Assert(t, err, qt.ErrorMatches, `.*/evacuated_data_centres/1: .* listed twice`)
	// The last backend server of an evacuated data centre moves away.
	_, err = evacuated.MergePatch([]byte(`{"services":{"rentas-core":{"backend_servers":{"b1":{"data_centre":"centro-b"}}}}}`))
	qt.Assert(t, err, qt.ErrorMatches, `.*/evacuated_data_centres/0: .* has no backend servers`)
	returned, err := evacuated.Return("centro-a")
	qt.Assert(t, err, qt.IsNil)
	changes, err := configurer.Diff(d, returned)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, changes, qt.HasLen, 0)
}

// Guards against a joint view in which a backend server that one version evacuates
// is in use, and against one that evacuates a server without a version saying so.
func TestJointViewOfEvacuations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v := configurer.View{Accepted: drawDocument(rt, "accepted")}
		versions := []*configurer.Document{v.Accepted}
		if rapid.Bool().Draw(rt, "open proposal") {
			v.Proposed = drawDocument(rt, "proposed")
			versions = append(versions, v.Proposed)
		}
		want, dataCentres := map[identifier.BackendServerID]bool{}, map[identifier.DataCentre]bool{}
		for _, d := range versions {
			for _, dc := range d.EvacuatedDataCentres {
				dataCentres[dc] = true
			}
			for id, b := range d.Services["s"].BackendServers {
				if slices.Contains(d.EvacuatedDataCentres, b.DataCentre) {
					want[id] = true
				}
			}
		}
		found := slices.Sorted(maps.Keys(v.EvacuatedServers()))
		if !slices.Equal(found, slices.Sorted(maps.Keys(want))) {
			rt.Fatalf("servers %v, want %v", found, want)
		}
		for dc, e := range v.Evacuations() {
			if !dataCentres[dc] || e.Proposed == slices.Contains(v.Accepted.EvacuatedDataCentres, dc) {
				rt.Fatalf("data centre %s: %+v", dc, e)
			}
			delete(dataCentres, dc)
		}
		if len(dataCentres) > 0 {
			rt.Fatalf("not evacuated: %v", dataCentres)
		}
	})
}

func drawDocument(rt *rapid.T, label string) *configurer.Document {
	dataCentre := rapid.SampledFrom([]identifier.DataCentre{"a", "b", "c"})
	servers := map[identifier.BackendServerID]configurer.BackendServer{}
	for _, id := range []identifier.BackendServerID{"b1", "b2", "b3"} {
		servers[id] = configurer.BackendServer{DataCentre: dataCentre.Draw(rt, label+" of "+string(id))}
	}
	return &configurer.Document{
		Services:             map[identifier.ServiceName]configurer.Service{"s": {BackendServers: servers}},
		EvacuatedDataCentres: rapid.SliceOfNDistinct(dataCentre, 0, 3, rapid.ID).Draw(rt, label+" evacuated"),
	}
}
