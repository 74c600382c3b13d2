package sessioner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/encoder"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/identifier"
)

// Guards against forwarded statements that cost several times the bytes of the
// statement itself between data centres.
func TestForwardedStatementIsSmall(t *testing.T) {
	var e encoder.Encoder
	e.Register("run", ForwardRequest{})
	e.Register("ran", ForwardReply{})
	position := identifier.Position{Term: 1, Offset: 1207}
	request := ForwardRequest{
		Workspace: "nyye242x4", Database: "nyye242", Elapsed: time.Millisecond, LastCommit: position, LastCommitAge: time.Second,
		Route: ForwardedRoute{
			Service: "bada40a", Consistency: 2, MaxStaleness: 2500 * time.Millisecond,
			StatementTimeout: 800 * time.Millisecond, TargetLatency: 250 * time.Millisecond, Priority: 2,
		},
		Statement: requester.Statement{ID: "5c0e7a21d94b36f8", Kind: requester.Read, Text: "READ 1a4"},
	}
	reply := ForwardReply{
		Result: requester.Result{
			Rows: []string{"qhzkwmtrbelo"}, Signature: "7.1f3.c.2b.90e1c4d2a7b3f655", State: requester.Idle, Position: position,
		},
		LastCommit: position, LastCommitAge: time.Second,
	}
	for _, test := range []struct {
		body any
		most int
	}{{request, 160}, {reply, 140}} {
		data, err := e.Encode(77, 0, test.body)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, len(data) <= test.most, qt.IsTrue, qt.Commentf("%T has %d bytes", test.body, len(data)))
		_, decoded, err := e.Decode(data)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, decoded, qt.DeepEquals, test.body)
	}
}
