package soaker

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Bounds of the odd entries that are in the store at the same time, and of the time
// between two changes of one.
const (
	maxOddEntries    = 6
	maxOddDepth      = 20_000
	minOddEntryPause = 20 * time.Millisecond
	maxOddEntryPause = 250 * time.Millisecond
)

// putOddEntries makes another writer leave odd entries of backend servers in the store,
// which change, go and come again until stop is closed. One that hides the others from a
// decoder of whole lists stays throughout.
func (e *environment) putOddEntries(r *rand.Rand, stop <-chan struct{}) {
	e.store.PutRaw("servers", "odd", json.RawMessage(deepJSON(true, maxOddDepth)))
	for {
		name := fmt.Sprint("odd-", r.IntN(maxOddEntries))
		if r.IntN(4) == 0 {
			e.store.Remove("servers", name)
		} else {
			e.putOddEntry(r, name)
		}
		select {
		case <-stop:
			return
		case <-time.After(minOddEntryPause + time.Duration(r.Int64N(int64(maxOddEntryPause-minOddEntryPause)))):
		}
	}
}

// checkReady checks that every instance is ready, also those that started while there
// were odd entries.
func (e *environment) checkReady() []string {
	var broken []string
	for _, p := range e.instances {
		if !p.IsReady() {
			broken = append(broken, fmt.Sprintf("end: instance %s is not ready after the faults", p.Name))
		}
	}
	return broken
}

// checkExits checks that no instance ended without a signal.
func (e *environment) checkExits() []string {
	var broken []string
	for _, p := range e.instances {
		if n := p.UnexpectedExits(); n > 0 {
			broken = append(broken, fmt.Sprintf("exit: instance %s ended %d times by itself", p.Name, n))
		}
	}
	return broken
}

func (e *environment) putOddEntry(r *rand.Rand, name string) {
	deep := deepJSON(r.IntN(2) == 0, 10_000+r.IntN(maxOddDepth))
	server := func(address, slots, cold string) string {
		return fmt.Sprintf(`{"service":"rentals","address":%s,"zone":"one","slots":%s,"state":"ready","reportedRole":"primary","born":1,"coldRemainingMs":%s}`, address, slots, cold)
	}
	specs := []string{
		deep, server(deep, "4", "0"), `{"service":"rentals","state":` + deep + `}`,
		server(`"127.0.0.1:99999"`, "4", "0"), server(`"127.0.0.1:0"`, "4", "0"), server(`"127.0.0.1:-1"`, "4", "0"), server(`7`, "4", "0"),
		server(`"127.0.0.1:1"`, "1e30", "0"), server(`"127.0.0.1:1"`, "9223372036854775807", "0"), server(`"127.0.0.1:1"`, "-4", "0"),
		server(`"127.0.0.1:1"`, "4", "1e400"), server(`"127.0.0.1:1"`, "4", "-1e300"), `null`, `"` + "\x01\xff" + `"`, `@`,
	}
	spec := specs[r.IntN(len(specs))]
	switch r.IntN(4) {
	case 0:
		metas := []string{deep, `7`, `{"name":7}`, `{"name":"` + name + `","revision":1e400}`, `{"name":"` + name + `","revision":-1}`}
		e.store.PutBytes("servers", name, []byte(`{"meta":`+metas[r.IntN(len(metas))]+`,"spec":`+spec+`}`))
	default:
		e.store.PutRaw("servers", name, json.RawMessage(spec))
	}
}

// deepJSON returns arrays or objects that are nested to the depth.
func deepJSON(arrays bool, depth int) string {
	if arrays {
		return strings.Repeat("[", depth) + strings.Repeat("]", depth)
	}
	return strings.Repeat(`{"a":`, depth) + "0" + strings.Repeat("}", depth)
}
