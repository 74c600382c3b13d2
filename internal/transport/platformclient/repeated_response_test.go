package platformclient_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/transport/platformclient"
)

// Guards against an old list that is taken for a new one: the platform's response to an
// earlier call is received again after the next call was sent.
func TestRepeatedListIsNotTakenForANewOne(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	go func() {
		revision := 10
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(conn)
			earlier := ""
			for ; ; revision++ {
				if _, err := http.ReadRequest(r); err != nil {
					_ = conn.Close()
					break
				}
				body := fmt.Sprintf(`{"revision":%d,"objects":[]}`, revision)
				response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				_, _ = io.WriteString(conn, earlier+response)
				earlier = response
			}
		}
	}()
	c := &platformclient.Client{BaseURL: "http://" + l.Addr().String()}
	defer c.Close()
	_, first, err := c.List(context.Background(), "config")
	qt.Assert(t, err, qt.IsNil)
	_, second, err := c.List(context.Background(), "config")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, second > first, qt.IsTrue, qt.Commentf("revisions %d, %d", first, second))
}
