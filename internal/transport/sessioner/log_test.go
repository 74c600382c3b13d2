package sessioner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/reporter"
)

// Guards against a number of series that grows with the product of workspaces,
// services and consistency classes. 1,000 workspaces on 8 services would have
// 24,000 series.
func TestSeriesGrowWithWorkspacesOnly(t *testing.T) {
	for _, workspaces := range []int{86, 1000} {
		t.Run(fmt.Sprint(workspaces), func(t *testing.T) {
			s, _ := newTestServer()
			s.Registry = &reporter.Registry{}
			n := &session{server: s}
			for w := range workspaces {
				for service := range 8 {
					for _, kind := range []cataloger.Consistency{cataloger.PrimaryOnly, cataloger.BoundedStaleness, cataloger.ReadOwnWrites} {
						o := operation{
							workspace: identifier.WorkspaceName(fmt.Sprint("w", w)),
							route:     cataloger.Route{Service: identifier.ServiceName(fmt.Sprint("s", service)), Consistency: kind},
							trace:     &trace{rateWait: 1, positionWait: 1, connectionWait: 1},
						}
						n.logFinished("", o, requester.Result{Code: requester.RunFailed}, time.Millisecond)
					}
				}
			}
			var b strings.Builder
			_, err := s.Registry.WriteTo(&b)
			qt.Assert(t, err, qt.IsNil)
			histograms := strings.Count(b.String(), "_count")
			const waits, classes = 3, 8 * 3
			qt.Assert(t, histograms, qt.Equals, workspaces+waits+classes)
			qt.Assert(t, strings.Count(b.String(), "statements_failed{"), qt.Equals, 1)
		})
	}
}
