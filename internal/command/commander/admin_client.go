package commander

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/pkg/errors"

	"oleanderpulley/internal/protocol/loader"
)

const (
	adminTimeout     = 70 * time.Second // Exceeds the server's write timeout (60 s), so that a late response still arrives.
	maxResponseBytes = 64 << 20
)

// errUndecided is returned for a change that may or may not have been accepted.
var errUndecided = errors.New("change is undecided")

// adminClient calls the administration API.
type adminClient struct {
	url, tokenFile, caFile, output string
}

// call sends a request and prints the response to out. The body may be nil.
func (a *adminClient) call(ctx context.Context, out io.Writer, method, path string, body any) error {
	if a.output != "table" && a.output != "json" {
		return errors.Wrapf(errUsage, "--output %q is neither table nor json", a.output)
	}
	status, data, err := a.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return responseError(status, data)
	}
	if a.output == "json" {
		_, err = out.Write(data)
		return errors.WithStack(err)
	}
	return printTable(out, data)
}

// send returns the status and the body of the response.
func (a *adminClient) send(ctx context.Context, method, path string, body any) (int, []byte, error) {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil, errors.Wrap(err, "encoding the request body")
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(a.url, "/")+path, content)
	if err != nil {
		return 0, nil, errors.Wrap(errUsage, err.Error())
	}
	if a.tokenFile != "" {
		token, err := readToken(a.tokenFile)
		if err != nil {
			return 0, nil, err
		}
		request.Header.Set("Authorization", "Bearer "+token)
	}
	client, err := a.httpClient()
	if err != nil {
		return 0, nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, errors.Wrap(err, "calling the API")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return response.StatusCode, data, errors.Wrap(err, "reading the response")
}

// readToken returns the token in a file with one line. It refuses one that a header
// cannot hold unchanged.
func readToken(name string) (string, error) {
	data, err := os.ReadFile(filepath.Clean(name))
	if err != nil {
		return "", errors.Wrap(err, "reading the token file")
	}
	token := loader.CutLineEnd(string(data))
	isControl := func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
	if token == "" || token != strings.Trim(token, " \t") || strings.ContainsFunc(token, isControl) {
		return "", errors.Wrapf(errUsage, "--token-file %s: needs one token, without control characters and without blanks at its ends", name)
	}
	return token, nil
}

func (a *adminClient) httpClient() (*http.Client, error) {
	httpClient := &http.Client{Timeout: adminTimeout}
	if a.caFile == "" {
		return httpClient, nil
	}
	data, err := os.ReadFile(filepath.Clean(a.caFile))
	if err != nil {
		return nil, errors.Wrap(err, "reading the CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("CA file %s contains no certificate", a.caFile)
	}
	httpClient.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return httpClient, nil
}

// responseError converts the body of an error response into an error.
func responseError(status int, data []byte) error {
	var refusal struct {
		Code, Message string
		Fields        []struct{ Path, Problem string }
	}
	if json.Unmarshal(data, &refusal) != nil || refusal.Message == "" {
		return errors.Errorf("status %d: %.200s", status, data)
	}
	lines := []string{refusal.Message}
	for _, field := range refusal.Fields {
		lines = append(lines, field.Path+": "+field.Problem)
	}
	message := strings.Join(lines, "\n  ")
	if refusal.Code == "undecided" {
		return errors.Wrap(errUndecided, message)
	}
	return errors.Errorf("%s: %s", refusal.Code, message)
}

// printTable prints each leaf of a JSON value as a line with its dotted path and
// its value. Texts with characters that are not printable are quoted.
func printTable(out io.Writer, data []byte) error {
	var value any
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if err := decoder.Decode(&value); err != nil {
		return errors.Wrap(err, "response is not JSON")
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range flatten(nil, "", value) {
		_, _ = fmt.Fprintf(w, "%s\t%v\n", row.name, row.value)
	}
	return errors.WithStack(w.Flush())
}

func isNotPrintable(r rune) bool {
	return !unicode.IsPrint(r)
}

type tableRow struct {
	name  string
	value any
}

// flatten appends a row for each leaf of the JSON value, with object keys sorted.
func flatten(rows []tableRow, name string, value any) []tableRow {
	qualify := func(segment string) string {
		if name == "" {
			return segment
		}
		return name + "." + segment
	}
	switch v := value.(type) {
	case map[string]any:
		keys := make([]string, 0, len(v))
		for key := range v {
			keys = append(keys, key)
		}
		slices.Sort(keys)
		for _, key := range keys {
			rows = flatten(rows, qualify(key), v[key])
		}
		return rows
	case []any:
		for i, element := range v {
			rows = flatten(rows, qualify(fmt.Sprint(i)), element)
		}
		return rows
	default:
		if text, ok := v.(string); ok && strings.ContainsFunc(text, isNotPrintable) {
			value = strconv.Quote(text)
		}
		return append(rows, tableRow{name, value})
	}
}
