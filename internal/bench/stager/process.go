package stager

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrNotReady reports instances that did not begin to serve.
var ErrNotReady = errors.New("instances did not begin to serve in time")

const (
	startLimit = 15 * time.Second
	startPoll  = 50 * time.Millisecond
	probeLimit = 300 * time.Millisecond
	// grace is the time from SIGTERM within which an instance ends.
	grace = 3 * time.Second
	// restartPause is the time from the end of a process to its restart.
	restartPause = 500 * time.Millisecond
)

// Entry describes one instance.
type Entry struct {
	Program    string
	Directory  string // Of its settings and its log.
	Name       string
	DataCentre string
	Store      string // Address of the store and of the promotion calls.
}

// Process is one instance as a process.
type Process struct {
	Name    string
	Address string // For clients.

	probe   string // Address of the readiness probe.
	command func() *exec.Cmd

	restarting sync.Mutex // Held from the end of a process to its restart.

	mu      sync.Mutex
	running *exec.Cmd
	ended   chan struct{}
}

// NewProcess writes the settings of an instance. It does not start it.
func NewProcess(e Entry) (*Process, error) {
	ports, err := freePorts(3)
	if err != nil {
		return nil, err
	}
	p := &Process{Name: e.Name, Address: ports[0], probe: ports[1]}
	_, peerPort, _ := net.SplitHostPort(ports[2])
	settings := fmt.Sprintf("nodeName=%s\nzone=%s\nip=127.0.0.1\nlisten.front=%s\nlisten.readiness=%s\n"+
		"internalPorts=%s,%s\nplatform.address=%s\ncloud.address=%s\nbounds.graceS=%d\nbounds.revokeMs=5000\nlimits.memoryMb=256\n",
		e.Name, e.DataCentre, ports[0], ports[1], peerPort, peerPort, e.Store, e.Store, int(grace.Seconds()))
	file := filepath.Join(e.Directory, e.Name+".conf")
	own := filepath.Join(e.Directory, e.Name+".jsonc")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, errors.Wrap(err, "writing settings")
	}
	if err := os.WriteFile(own, []byte(`{"metrics_port": 0}`), 0o600); err != nil {
		return nil, errors.Wrap(err, "writing settings")
	}
	logs, err := os.OpenFile(filepath.Join(e.Directory, e.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // The caller's directory.
	if err != nil {
		return nil, errors.Wrap(err, "opening a log")
	}
	p.command = func() *exec.Cmd {
		c := exec.Command(e.Program, "entry", "--settings", file, "--config", own) //nolint:gosec // The caller names the program.
		c.Stdout, c.Stderr = logs, logs
		return c
	}
	return p, nil
}

func freePorts(count int) ([]string, error) {
	var addresses []string
	for range count {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "finding a port")
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// StartAll starts the processes and waits until all of them are ready. It
// returns [ErrNotReady] with the names of those that are not.
func StartAll(all []*Process) error {
	for _, p := range all {
		if err := p.Start(); err != nil {
			return err
		}
	}
	var missing []string
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(startPoll) {
		missing = nil
		for _, p := range all {
			if !p.IsReady() {
				missing = append(missing, p.Name)
			}
		}
		if len(missing) == 0 {
			return nil
		}
	}
	return errors.Wrapf(ErrNotReady, "instances %v", missing)
}

// Start starts the process.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.command()
	if err := c.Start(); err != nil {
		return errors.Wrapf(err, "starting %s", p.Name)
	}
	ended := make(chan struct{})
	p.running, p.ended = c, ended
	go func() {
		defer close(ended)
		_ = c.Wait() // Ends by a signal of this run.
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		_ = p.running.Process.Signal(s) // A process that has ended needs none.
	}
}

// await waits for the end of the process and kills it after the limit.
func (p *Process) await(limit time.Duration) {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return // Was never started.
	}
	select {
	case <-ended:
	case <-time.After(limit):
		p.Signal(syscall.SIGKILL)
		<-ended
	}
}

// Restart ends the process by the signal and starts it again.
func (p *Process) Restart(s syscall.Signal) error {
	p.restarting.Lock()
	defer p.restarting.Unlock()
	p.Signal(s)
	p.await(grace + time.Second)
	time.Sleep(restartPause)
	return p.Start()
}

// Close ends the process for good, also a paused one.
func (p *Process) Close() {
	p.restarting.Lock() // Never unlocked, so that no fault starts it again.
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	p.await(time.Second)
}

// IsReady asks the readiness probe.
func (p *Process) IsReady() bool {
	client := http.Client{Timeout: probeLimit}
	response, err := client.Get("http://" + p.probe + "/v1/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}
