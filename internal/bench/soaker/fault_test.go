package soaker

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/platform/imitator"
)

// Guards against a soak that ends by a panic, because the primary has just stepped down for its successor.
func TestReplacementWithoutAPrimary(t *testing.T) {
	e := &environment{members: map[string]*imitator.Member{}}
	e.group.Service = "rentals"
	defer e.group.Close()
	for _, id := range []string{"a", "b", "c"} {
		m, err := e.group.Add(id)
		qt.Assert(t, err, qt.IsNil)
		e.members[id] = m
	}
	stepDown(t, e.members[e.group.Primary()])
	qt.Assert(t, e.group.Primary(), qt.Equals, "")
	resume := e.replacePrimary(rand.New(rand.NewPCG(1, 1)))
	qt.Assert(t, e.group.Primary(), qt.Not(qt.Equals), "")
	resume()
}

func stepDown(t *testing.T, m *imitator.Member) {
	t.Helper()
	conn, err := net.Dial("tcp4", m.Address())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	qt.Assert(t, conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	_, err = fmt.Fprintf(conn, "STARTUP rentals - %s\r\nQUERY - STEPDOWN 5\r\n", m.ID)
	qt.Assert(t, err, qt.IsNil)
	r := bufio.NewReader(conn)
	for ready := 0; ready < 2; { // Of the startup and of the step-down.
		line, err := r.ReadString('\n')
		qt.Assert(t, err, qt.IsNil)
		if strings.HasPrefix(line, "READY") {
			ready++
		}
	}
}

// Guards against a run beside an older build that reports the promises which that one
// breaks, and a run of this build alone without the fault.
func TestRepeatedAnswersBesideAnOlderBuild(t *testing.T) {
	for _, test := range []struct {
		soak Soak
		want bool
	}{{Soak{}, true}, {Soak{OldProgram: "old"}, false}, {Soak{OldProgram: "old", Fault: repeatFault}, true}} {
		drawn, err := test.soak.faults()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, slices.ContainsFunc(drawn, func(f fault) bool { return f.name == repeatFault }), qt.Equals, test.want)
	}
}
