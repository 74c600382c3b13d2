package messenger

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/encoder"
)

// serveLink accepts an inbound link, exchanges the hello messages and serves
// requests until the connection ends.
func (m *Messenger) serveLink(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != endpointPath {
		http.NotFound(w, r)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	m.tasks.Add(1)
	defer m.tasks.Done()
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(encoder.MaxMessageBytes)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-m.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	helloCtx, stop := context.WithTimeout(ctx, headerTimeout)
	from, err := m.exchangeHello(helloCtx, conn)
	stop()
	if err != nil {
		m.Logger.Warn().Str("event", "peer_refused").Err(err).Send()
		return
	}
	err = m.serveRequests(ctx, conn, from)
	m.Logger.Debug().Str("event", "peer_link_ended").Str("peer", string(from.Instance)).Err(err).Send()
}

// serveRequests passes requests to their handlers until the connection ends. It
// reads no further request while maxHandlers handlers are running, which applies
// back pressure to the sender.
func (m *Messenger) serveRequests(ctx context.Context, conn *websocket.Conn, from encoder.Hello) error {
	var handlers sync.WaitGroup
	defer handlers.Wait()
	slots := make(chan struct{}, maxHandlers)
	for {
		data, err := m.read(ctx, conn)
		if err != nil {
			return err
		}
		envelope, body, err := m.Encoder.Decode(data)
		if err != nil && !isOfOtherBuild(err) {
			return err
		}
		if err != nil {
			m.Counters.countOfOtherBuild(err)
			m.reply(ctx, conn, envelope.ID, nil, err)
			continue
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		handlers.Add(1)
		go func() {
			defer handlers.Done()
			defer func() { <-slots }()
			reply, err := m.handle(ctx, from, body)
			m.reply(ctx, conn, envelope.ID, reply, err)
		}()
	}
}

// isOfOtherBuild reports whether the error of a message concerns that message alone.
// Another build may have sent it, whose other messages are understood.
func isOfOtherBuild(err error) bool {
	return errors.Is(err, encoder.ErrUnknownType) || errors.Is(err, encoder.ErrMalformedBody)
}

// countOfOtherBuild counts a message for which isOfOtherBuild is true.
func (c *Counters) countOfOtherBuild(err error) {
	if errors.Is(err, encoder.ErrUnknownType) {
		c.UnknownTypes.Add(1)
	} else {
		c.MalformedBodies.Add(1)
	}
}

// errHandlerPanicked is the outcome of a request whose handler panicked. It may
// have been handled in part.
var errHandlerPanicked = errors.New("handler panicked")

// handle passes a request to its handler. A panic ends this request alone.
func (m *Messenger) handle(ctx context.Context, from encoder.Hello, body any) (reply any, err error) {
	defer func() {
		if p := recover(); p != nil {
			m.Counters.Panics.Add(1)
			m.Logger.Error().Str("event", "handler_panicked").Str("peer", string(from.Instance)).Type("request", body).
				Interface("panic", p).Bytes("stack", debug.Stack()).Send()
			reply, err = nil, errHandlerPanicked
		}
	}()
	return m.Handle(ctx, from, body)
}

// reply sends the outcome of a request. A failed write closes the connection, so
// that its read loop ends.
func (m *Messenger) reply(ctx context.Context, conn *websocket.Conn, id uint64, body any, failure error) {
	switch {
	case failure != nil:
		body = encoder.Error{Text: failure.Error()}
	case body == nil:
		body = m.Self
	}
	data, err := m.Encoder.Encode(0, id, body)
	if err != nil {
		m.Logger.Error().Str("event", "reply_not_encoded").Err(err).Send()
		return
	}
	if err := m.write(ctx, conn, data); err != nil {
		_ = conn.CloseNow()
	}
}

// exchangeHello sends this instance's hello and returns the peer's.
func (m *Messenger) exchangeHello(ctx context.Context, conn *websocket.Conn) (encoder.Hello, error) {
	data, err := m.Encoder.Encode(0, 0, m.Self)
	if err != nil {
		return encoder.Hello{}, err
	}
	if err := m.write(ctx, conn, data); err != nil {
		return encoder.Hello{}, errors.Wrap(err, "sending hello")
	}
	data, err = m.read(ctx, conn)
	if err != nil {
		return encoder.Hello{}, errors.Wrap(err, "reading hello")
	}
	_, body, err := m.Encoder.Decode(data)
	if err != nil {
		return encoder.Hello{}, errors.Wrap(err, "reading hello")
	}
	hello, ok := body.(encoder.Hello)
	if !ok || hello.Instance == "" {
		return encoder.Hello{}, errors.New("first message is not a hello")
	}
	return hello, nil
}

func (m *Messenger) write(ctx context.Context, conn *websocket.Conn, data []byte) error {
	// The WebSocket library closes a connection when the context of a write
	// ends. The caller's deadline therefore does not apply to the write:
	// otherwise one request with a short deadline would close the link for all.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return err
	}
	m.Counters.MessagesSent.Add(1)
	m.Counters.BytesSent.Add(int64(len(data)))
	return nil
}

func (m *Messenger) read(ctx context.Context, conn *websocket.Conn) ([]byte, error) {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return nil, err
	}
	m.Counters.MessagesReceived.Add(1)
	m.Counters.BytesReceived.Add(int64(len(data)))
	return data, nil
}
