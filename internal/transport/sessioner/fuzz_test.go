package sessioner

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oleanderpulley/internal/protocol/encoder"
	"oleanderpulley/internal/protocol/requester"
	"oleanderpulley/internal/state/identifier"
)

// FuzzExecute guards against a panic on a forwarded statement whose fields are
// missing or do not belong together, as another version of the program may send
// it.
func FuzzExecute(f *testing.F) {
	for _, seed := range []ForwardRequest{
		openingForward("shops", 1),
		primaryRequest(requester.Read, "READ x"),
		{Transaction: 7, Statement: requester.Statement{Kind: requester.Commit}},
		{Begin: requester.BeginReadOnly, LastCommit: identifier.Position{Term: 3}, LastCommitAge: -time.Hour},
	} {
		data, err := cbor.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var e encoder.Encoder
		e.Register("run", ForwardRequest{})
		message, err := cbor.Marshal(encoder.Envelope{Version: encoder.Version, Type: "run", Body: data})
		if err != nil {
			return
		}
		_, body, err := e.Decode(message)
		if err != nil {
			return
		}
		request, ok := body.(ForwardRequest)
		if !ok {
			t.Fatalf("decoded %T", body)
		}
		request.Route.StatementTimeout = min(request.Route.StatementTimeout, time.Millisecond)
		s, _ := newTestServer()
		s.Execute("peer", request)
	})
}
