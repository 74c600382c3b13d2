package commander_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rogpeppe/go-internal/testscript"

	"oleanderpulley/internal/fake/allocator"
)

var update = flag.Bool("update", false, "rewrite the expected parts of the scripts")

const (
	waitLimit = 20 * time.Second
	waitStep  = 20 * time.Millisecond
)

// binaryDir is the directory of the programs built by TestMain.
var binaryDir string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "oleanderpulley-bin-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir, "oleanderpulley/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the programs: %v\n%s", err, out)
		return 1
	}
	binaryDir = dir
	return m.Run()
}

// Guards against unnoticed changes of what operators and clients see: each script
// runs the real programs as separate processes and compares their output.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           filepath.Join("testdata", "script"),
		UpdateScripts: *update,
		Setup: func(e *testscript.Env) error {
			e.Setenv("PATH", binaryDir+string(os.PathListSeparator)+e.Getenv("PATH"))
			for _, name := range []string{"PLATFORM", "B1", "B2", "B3", "B1_CONTROL", "CLIENTS", "ADMIN", "PEERS", "METRICS",
				"CLIENTS2", "ADMIN2", "PEERS2", "METRICS2"} {
				address, err := allocator.FreeAddress()
				if err != nil {
					return err
				}
				e.Defer(func() { allocator.Release(address) })
				e.Setenv(name, address)
			}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"await": await, "sql": sql, "expand": expand, "capture": capture, "normalise": normalise, "post": post,
		},
	})
}

// await waits until an address accepts connections, or until a URL returns 200.
func await(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(waitLimit)
	for time.Now().Before(deadline) {
		if responds(args[0]) {
			return
		}
		<-time.After(waitStep)
	}
	ts.Fatalf("%s did not respond within %s", args[0], waitLimit)
}

func responds(target string) bool {
	if !strings.HasPrefix(target, "http") {
		c, err := net.DialTimeout("tcp", target, time.Second)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}
	response, err := http.Get(target)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// sql runs statements in one session and writes rows, command tags and SQLSTATE
// codes to standard output. It retries a statement that exceeds the rate (53400),
// because the rate of a new workspace takes effect shortly after its acceptance.
func sql(ts *testscript.TestScript, _ bool, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	out := ts.Stdout()
	conn, err := pgx.Connect(ctx, args[0])
	if err != nil {
		_, _ = fmt.Fprintln(out, "connect:", sqlState(err))
		return
	}
	defer func() { _ = conn.Close(ctx) }()
	for _, statement := range args[1:] {
		results, err := conn.PgConn().Exec(ctx, statement).ReadAll()
		for err != nil && sqlState(err) == "53400" && ctx.Err() == nil {
			<-time.After(waitStep)
			results, err = conn.PgConn().Exec(ctx, statement).ReadAll()
		}
		if err != nil {
			_, _ = fmt.Fprintln(out, sqlState(err))
			continue
		}
		for _, r := range results {
			for _, row := range r.Rows {
				var values []string
				for _, v := range row {
					values = append(values, string(v))
				}
				_, _ = fmt.Fprintln(out, strings.Join(values, " | "))
			}
			_, _ = fmt.Fprintln(out, r.CommandTag)
		}
	}
}

func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return err.Error()
}

// expand substitutes environment variables in a file.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	file := ts.MkAbs(args[0])
	data, err := os.ReadFile(file)
	ts.Check(err)
	ts.Check(os.WriteFile(file, []byte(os.Expand(string(data), ts.Getenv)), 0o600))
}

// capture sets a variable to the first submatch of a pattern in a file.
func capture(ts *testscript.TestScript, _ bool, args []string) {
	groups := regexp.MustCompile(args[2]).FindStringSubmatch(ts.ReadFile(args[1]))
	if groups == nil {
		ts.Fatalf("%s does not match %s", args[1], args[2])
	}
	ts.Setenv(args[0], groups[1])
}

// normalise replaces addresses, times and hashes in a file with placeholders.
func normalise(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	for pattern, replacement := range map[string]string{
		`127\.0\.0\.1:\d+`: "ADDRESS", `\d{4}-\d\d-\d\dT[0-9:.]+Z`: "TIME", `\b[0-9a-f]{64}\b`: "HASH",
	} {
		text = regexp.MustCompile(pattern).ReplaceAllString(text, replacement)
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}

// post sends a JSON body to the control endpoint of a fake.
func post(ts *testscript.TestScript, _ bool, args []string) {
	response, err := http.Post(args[0], "application/json", strings.NewReader(args[1]))
	ts.Check(err)
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		ts.Fatalf("POST %s: status %d", args[0], response.StatusCode)
	}
}
