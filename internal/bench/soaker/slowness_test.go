package soaker

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a check that cannot fail, and one that reports an instance that was frozen for too long.
func TestCheckGivenUp(t *testing.T) {
	for name, test := range map[string]struct {
		operation operation
		freezes   []freeze
		broken    int
	}{
		"given up early":         {operation{sent: at(1), answered: at(1.5), code: "INDOUBT"}, nil, 1},
		"given up at its time":   {operation{sent: at(1), answered: at(1.79), code: "INDOUBT"}, nil, 0},
		"refused":                {operation{sent: at(1), answered: at(1.5), code: "BUSY"}, nil, 0},
		"frozen at the deadline": {operation{sent: at(1), answered: at(1.5), code: "INDOUBT"}, []freeze{{at(0), at(3)}}, 0},
		"runs again in time":     {operation{sent: at(1), answered: at(1.5), code: "INDOUBT"}, []freeze{{at(0), at(1.6)}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := history{operations: []operation{test.operation}}
			qt.Assert(t, h.checkGivenUp(test.freezes), qt.HasLen, test.broken)
		})
	}
}
