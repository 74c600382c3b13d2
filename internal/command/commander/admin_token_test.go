package commander

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a token of which more than the line end of its file is cut, so that the
// hash of another one is compared.
func TestTokensAreSentUnchangedOrNotAtAll(t *testing.T) {
	var received []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = append(received, r.Header.Get("Authorization"))
		_, _ = w.Write([]byte(`{}`))
	}))
	defer server.Close()
	for _, token := range []struct{ content, want string }{
		{"abc", "abc"}, {"abc\n", "abc"}, {"a/b+c=\r\n", "a/b+c="}, {"a b\n", "a b"}, {"abc\u00a0\n", "abc\u00a0"}, {"\xff\n", "\xff"},
		{" abc\n", ""}, {"abc \n", ""}, {"abc\t", ""}, {"abc\n\n", ""}, {"a\x00c", ""}, {"\x7f", ""}, {"\n", ""},
	} {
		received = nil
		file := filepath.Join(t.TempDir(), "token")
		qt.Assert(t, os.WriteFile(file, []byte(token.content), 0o600), qt.IsNil)
		client := adminClient{url: server.URL, tokenFile: file, output: "json"}
		err := client.call(t.Context(), &bytes.Buffer{}, http.MethodGet, "/v1/config", nil)
		if token.want == "" {
			qt.Check(t, err, qt.ErrorIs, errUsage, qt.Commentf("file %q", token.content))
			qt.Check(t, received, qt.HasLen, 0, qt.Commentf("file %q", token.content))
			continue
		}
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, received, qt.DeepEquals, []string{"Bearer " + token.want}, qt.Commentf("file %q", token.content))
	}
}
