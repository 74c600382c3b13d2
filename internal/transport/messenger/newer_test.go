package messenger_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/encoder"
	"oleanderpulley/internal/transport/messenger"
)

// Types as a build that is not adjacent sends them under the names of question and
// reply, and a type that this build does not have.
type (
	otherQuestion struct {
		Text []uint64 `cbor:"text"`
	}
	otherReply struct {
		Text []uint64 `cbor:"text"`
	}
	newerQuestion struct {
		Text   string `cbor:"text"`
		Reason string `cbor:"reason"`
	}
	newerReply struct {
		Text   string `cbor:"text"`
		Reason string `cbor:"reason"`
	}
	unknownMessage struct{}
)

// otherBuild returns an encoder that decodes the types of this build and encodes those
// of another one too.
func otherBuild() *encoder.Encoder {
	e := &encoder.Encoder{}
	e.Register("unknown", unknownMessage{})
	e.Register("question", otherQuestion{})
	e.Register("question", newerQuestion{})
	e.Register("question", question{})
	e.Register("reply", otherReply{})
	e.Register("reply", newerReply{})
	e.Register("reply", reply{})
	return e
}

// Guards against a message of another build that ends the connection with the other requests in flight on it.
func TestMessagesOfOtherBuilds(t *testing.T) {
	for name, request := range map[string]struct {
		body    any
		want    error
		unknown int64 // Unknown types and malformed bodies that the receiver counts.
		other   int64
	}{
		"unknown type":          {unknownMessage{}, messenger.ErrRemote, 1, 0},
		"unknown field":         {newerQuestion{"x", "y"}, nil, 0, 0},
		"other type of a field": {otherQuestion{[]uint64{1}}, messenger.ErrRemote, 0, 1},
	} {
		t.Run("request/"+name, func(t *testing.T) {
			slow := newSlowRequest()
			b, peer := start(t, "b", slow.handle(echo))
			a, _ := startWith(t, "a", otherBuild(), echo)
			a.SetPeers([]messenger.Peer{peer})
			slow.start(t, a)
			_, err := a.Request(t.Context(), "b", request.body)
			qt.Check(t, err, qt.ErrorIs, request.want)
			slow.finish(t)
			qt.Check(t, b.Counters.UnknownTypes.Load(), qt.Equals, request.unknown)
			qt.Check(t, b.Counters.MalformedBodies.Load(), qt.Equals, request.other)
		})
	}
	for name, answer := range map[string]struct {
		body    any
		want    error
		unknown int64 // Unknown types and malformed bodies that the requester counts.
		other   int64
	}{
		"unknown type":          {unknownMessage{}, encoder.ErrUnknownType, 1, 0},
		"unknown field":         {newerReply{"x", "y"}, nil, 0, 0},
		"other type of a field": {otherReply{[]uint64{1}}, encoder.ErrMalformedBody, 0, 1},
	} {
		t.Run("reply/"+name, func(t *testing.T) {
			slow := newSlowRequest()
			_, peer := startWith(t, "b", otherBuild(), slow.handle(func(question) (any, error) { return answer.body, nil }))
			a, _ := start(t, "a", echo)
			a.SetPeers([]messenger.Peer{peer})
			slow.start(t, a)
			_, err := a.Request(t.Context(), "b", question{"x"})
			qt.Check(t, err, qt.ErrorIs, answer.want)
			slow.finish(t)
			qt.Check(t, a.Counters.UnknownTypes.Load(), qt.Equals, answer.unknown)
			qt.Check(t, a.Counters.MalformedBodies.Load(), qt.Equals, answer.other)
		})
	}
}

// slowRequest is a request that is in flight while other messages are exchanged.
type slowRequest struct {
	arrived, release chan struct{}
	failed           chan error
}

func newSlowRequest() slowRequest {
	return slowRequest{make(chan struct{}), make(chan struct{}), make(chan error, 1)}
}

func (r slowRequest) handle(others func(question) (any, error)) func(question) (any, error) {
	return func(q question) (any, error) {
		if q.Text != "slow" {
			return others(q)
		}
		close(r.arrived)
		<-r.release
		return reply(q), nil
	}
}

// start sends the request to b and waits until it has arrived there.
func (r slowRequest) start(t *testing.T, m *messenger.Messenger) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := m.Request(ctx, "b", question{"slow"})
		r.failed <- err
	}()
	select {
	case <-r.arrived:
	case <-time.After(10 * time.Second):
		t.Fatal("not within 10s: the slow request has arrived")
	}
}

// finish lets the peer reply and checks that the reply arrives.
func (r slowRequest) finish(t *testing.T) {
	close(r.release)
	qt.Assert(t, <-r.failed, qt.IsNil, qt.Commentf("the request in flight"))
}
