package administrator_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"

	"oleanderpulley/internal/coordination/distributor"
	"oleanderpulley/internal/protocol/loader"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/transport/administrator"
)

var update = flag.Bool("update", false, "write the golden files")

var errUnreachable = errors.New("not reachable")

// fakePlatform is an in-memory object API. In mode "down" every call fails
// without effect. In mode "lose" every call fails, but writes take effect. In mode
// "lose after open" the first write of a config object switches to "lose".
type fakePlatform struct {
	mu      sync.Mutex
	mode    string
	objects map[string]distributor.Object
	version uint64
}

func (p *fakePlatform) functions() distributor.Platform {
	return distributor.Platform{
		Read: func(_ context.Context, kind, name string) (distributor.Object, error) {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.objects[kind+"/"+name], p.checkReachable()
		},
		List: func(_ context.Context, kind string) (list []distributor.Object, err error) {
			p.mu.Lock()
			defer p.mu.Unlock()
			for key, o := range p.objects {
				if strings.HasPrefix(key, kind+"/") {
					list = append(list, o)
				}
			}
			return list, p.checkReachable()
		},
		Write: p.write,
		Watch: func(ctx context.Context, _ string, _ uint64, _ time.Duration) ([]distributor.Object, uint64, error) {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		},
		Live: func(context.Context) ([]identifier.InstanceID, error) { return []identifier.InstanceID{"a1"}, nil },
	}
}

func (p *fakePlatform) checkReachable() error {
	if p.mode == "down" || p.mode == "lose" {
		return errUnreachable
	}
	return nil
}

func (p *fakePlatform) write(_ context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == "down" {
		return 0, errUnreachable
	}
	if p.mode == "lose after open" && kind == "config" {
		p.mode = "lose"
	}
	if p.objects[kind+"/"+name].Version != ifVersion {
		return 0, distributor.ErrConflict
	}
	p.version++
	p.objects[kind+"/"+name] = distributor.Object{Name: name, Value: slices.Clone(value), Version: p.version}
	if p.mode == "lose" {
		return 0, errUnreachable
	}
	return p.version, nil
}

// Guards against responses with a wrong status or without the details that an
// operator needs (both versions of a stale patch, each invalid field, the reason
// of a refusal), and against a change that is applied although it was refused.
func TestRequestScripts(t *testing.T) {
	names, err := os.ReadDir("testdata")
	qt.Assert(t, err, qt.IsNil)
	for _, entry := range names {
		if !strings.HasSuffix(entry.Name(), ".txtar") {
			continue
		}
		t.Run(strings.TrimSuffix(entry.Name(), ".txtar"), func(t *testing.T) {
			golden := "testdata/" + entry.Name()
			archive, err := txtar.ParseFile(golden)
			qt.Assert(t, err, qt.IsNil)
			var got string
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(simulationProcs))
			synctest.Test(t, func(t *testing.T) { got = runScript(t, string(archive.Files[0].Data)) })
			if *update {
				archive.Files = []txtar.File{archive.Files[0], {Name: "answers", Data: []byte(got)}}
				qt.Assert(t, os.WriteFile(golden, txtar.Format(archive), 0o600), qt.IsNil)
				return
			}
			qt.Assert(t, got, qt.Equals, string(archive.Files[1].Data))
		})
	}
}

// runScript runs the requests of a script and returns the responses. Adjacent
// lines that start with & run concurrently; their responses are sorted.
func runScript(t *testing.T, script string) string {
	p := &fakePlatform{objects: map[string]distributor.Object{}}
	d := &distributor.Distributor{Instance: "a1", DataCentre: "centro-a", Platform: p.functions()}
	d.Start()
	defer d.Close()
	for {
		if _, err := d.Current(); err == nil {
			break
		}
		<-time.After(10 * time.Millisecond)
	}
	a := administrator.New(d)
	a.Tokens = []loader.Token{{Operator: "seda", Hash: configurer.HashKey("t1")}, {Operator: "obi", Hash: configurer.HashKey("t2")}}
	c := &client{handler: a.Handler(), token: "t1"}
	var out strings.Builder
	var concurrent []string
	for line := range strings.Lines(script + "\n") {
		line = strings.TrimSpace(line)
		if rest, ok := strings.CutPrefix(line, "& "); ok {
			concurrent = append(concurrent, rest)
			continue
		}
		out.WriteString(c.doConcurrently(concurrent))
		concurrent = nil
		command, rest, _ := strings.Cut(line, " ")
		switch command {
		case "", "#":
		case "token":
			c.token = rest
		case "platform":
			p.mu.Lock()
			p.mode = strings.TrimPrefix(rest, "up")
			p.mu.Unlock()
		case "wait":
			wait, err := time.ParseDuration(rest)
			qt.Assert(t, err, qt.IsNil)
			<-time.After(wait)
		default:
			out.WriteString(c.do(line))
		}
	}
	return out.String()
}

type client struct {
	handler http.Handler
	token   string
}

// placeholders replace the parts of a response that vary from run to run.
var placeholders = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`"secret": "[\w-]{43}"`), `"secret": "(43 characters)"`},
	{regexp.MustCompile(`"hash": "[0-9a-f]{64}"`), `"hash": "(hash)"`},
	{regexp.MustCompile(`"time": "[^"]*"`), `"time": "(time)"`},
	{regexp.MustCompile(`"race\d"`), `"race?"`},
	{regexp.MustCompile(`"revision": \d+`), `"revision": (n)`},
}

func (c *client) do(line string) string {
	method, rest, _ := strings.Cut(line, " ")
	path, body, _ := strings.Cut(rest, " ")
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	w := httptest.NewRecorder()
	c.handler.ServeHTTP(w, r)
	text := w.Body.String()
	for _, v := range placeholders {
		text = v.pattern.ReplaceAllString(text, v.text)
	}
	retry := ""
	if after := w.Header().Get("Retry-After"); after != "" {
		retry = ", Retry-After " + after
	}
	return fmt.Sprintf("%s %s: %d%s\n%s", method, path, w.Code, retry, text)
}

func (c *client) doConcurrently(lines []string) string {
	responses := make([]string, len(lines))
	var running sync.WaitGroup
	for i, line := range lines {
		running.Go(func() { responses[i] = c.do(line) })
	}
	running.Wait()
	slices.Sort(responses)
	return strings.Join(responses, "")
}

// Guards against an API that is reachable from other machines without TLS.
func TestStartNeedsTLSOffLoopback(t *testing.T) {
	a := &administrator.Administrator{}
	_, err := a.Start("0.0.0.0:0")
	qt.Assert(t, err, qt.ErrorMatches, ".*has no TLS")
	bound, err := a.Start("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer a.Close()
	response, err := http.Get("http://" + bound.String() + "/v1/config")
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusUnauthorized)
}
