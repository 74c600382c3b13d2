package messenger_test

import (
	"context"
	"testing"
	"time"

	"github.com/coder/websocket"
	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/encoder"
)

// Guards against requests from a connection on which a message could not be delimited or the sender is not known.
func TestUndecodableMessagesEndTheConnection(t *testing.T) {
	e := otherBuild()
	hello, err := e.Encode(0, 0, encoder.Hello{Instance: "a", DataCentre: "centro-a"})
	qt.Assert(t, err, qt.IsNil)
	request, err := e.Encode(1, 0, question{"x"})
	qt.Assert(t, err, qt.IsNil)
	for name, messages := range map[string][][]byte{
		"envelope":         {hello, {0xff}},
		"too long":         {hello, make([]byte, encoder.MaxMessageBytes+1)},
		"no hello":         {request},
		"hello without id": {{0xa0}},
	} {
		t.Run(name, func(t *testing.T) {
			_, peer := start(t, "b", echo)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			conn, response, err := websocket.Dial(ctx, "ws://"+peer.Address+"/v1/peer", nil)
			qt.Assert(t, err, qt.IsNil)
			if response.Body != nil {
				defer func() { _ = response.Body.Close() }()
			}
			defer func() { _ = conn.CloseNow() }()
			_, _, err = conn.Read(ctx) // The peer's hello.
			qt.Assert(t, err, qt.IsNil)
			for _, m := range messages {
				_ = conn.Write(ctx, websocket.MessageBinary, m) // Fails if the peer has ended the connection already.
			}
			_, _, err = conn.Read(ctx)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, ctx.Err(), qt.IsNil, qt.Commentf("the connection is still open"))
		})
	}
}
