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

	"oleanderpulley/internal/fake/allocator"
)

// ErrNotReady is returned if instances are not ready within the start timeout.
var ErrNotReady = errors.New("instances are not ready in time")

const (
	startTimeout      = 15 * time.Second
	readyPollInterval = 50 * time.Millisecond
	probeTimeout      = 300 * time.Millisecond
	// gracePeriod is the configured time from SIGTERM to the exit of an instance.
	gracePeriod = 3 * time.Second
	// restartDelay is the time from the exit of a process to its restart.
	restartDelay = 500 * time.Millisecond
)

// ProcessConfig describes the process of one instance.
type ProcessConfig struct {
	Program      string // Path of the executable.
	Directory    string // Directory for its settings and its log.
	Name         string
	DataCentre   string
	StoreAddress string // Address of the metadata store and the promotion endpoint.
	Unfenced     bool   // The promotion endpoint checks no fencing tokens.
}

// Process is an instance that runs as a separate process.
type Process struct {
	Name    string
	Address string // Listen address for clients.

	readinessAddress string // Listen address of the readiness probe.
	command          func(program string) *exec.Cmd

	restarting sync.Mutex // Held from the signal that ends the process to its restart.

	mu      sync.Mutex
	program string // Path of the executable of the next start.
	started string // Path of the executable of the last start.
	cmd     *exec.Cmd
	exited  chan struct{}
	ending  bool // A signal that ends the process was sent.
	exits   int  // Of processes that were sent none.
}

// UnexpectedExits returns how often the process has ended without a signal that ends it.
func (p *Process) UnexpectedExits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exits
}

// NewProcess writes the settings files of an instance and opens its log. It does
// not start the process.
func NewProcess(config ProcessConfig) (*Process, error) {
	var addresses [3]string
	for i := range addresses {
		var err error
		if addresses[i], err = allocator.FreeAddress(); err != nil {
			return nil, err
		}
	}
	p := &Process{Name: config.Name, Address: addresses[0], readinessAddress: addresses[1], program: config.Program}
	_, peerPort, _ := net.SplitHostPort(addresses[2])
	settings := fmt.Sprintf("nodeName=%s\nzone=%s\nip=127.0.0.1\nlisten.front=%s\nlisten.readiness=%s\n"+
		"internalPorts=%s,%s\nplatform.address=%s\ncloud.address=%s\nbounds.graceS=%d\nbounds.revokeMs=5000\nbounds.requireFencing=%t\nlimits.memoryMb=256\n",
		config.Name, config.DataCentre, addresses[0], addresses[1], peerPort, peerPort, config.StoreAddress, config.StoreAddress, int(gracePeriod.Seconds()), !config.Unfenced)
	settingsFile := filepath.Join(config.Directory, config.Name+".conf")
	configFile := filepath.Join(config.Directory, config.Name+".jsonc")
	if err := os.WriteFile(settingsFile, []byte(settings), 0o600); err != nil {
		return nil, errors.Wrapf(err, "writing settings of instance %s to %s", config.Name, settingsFile)
	}
	if err := os.WriteFile(configFile, []byte(`{"metrics_port": 0}`), 0o600); err != nil {
		return nil, errors.Wrapf(err, "writing settings of instance %s to %s", config.Name, configFile)
	}
	logFile, err := os.OpenFile(filepath.Join(config.Directory, config.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // The caller chooses the directory.
	if err != nil {
		return nil, errors.Wrapf(err, "opening the log of instance %s", config.Name)
	}
	p.command = func(program string) *exec.Cmd {
		c := exec.Command(program, "entry", "--settings", settingsFile, "--config", configFile) //nolint:gosec // The caller chooses the program.
		c.Stdout, c.Stderr = logFile, logFile
		return c
	}
	return p, nil
}

// StartAll starts the processes and waits until all of them are ready. It
// returns [ErrNotReady] with the names of the instances that are not ready within
// the start timeout.
func StartAll(all []*Process) error {
	for _, p := range all {
		if err := p.Start(); err != nil {
			return err
		}
	}
	var notReady []string
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		notReady = nil
		for _, p := range all {
			if !p.IsReady() {
				notReady = append(notReady, p.Name)
			}
		}
		if len(notReady) == 0 {
			return nil
		}
	}
	return errors.Wrapf(ErrNotReady, "instances %v", notReady)
}

// Start starts the process without waiting until it is ready.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.command(p.program)
	if err := c.Start(); err != nil {
		return errors.Wrapf(err, "starting instance %s", p.Name)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.started, p.ending = c, exited, p.program, false
	go func() {
		defer close(exited)
		_ = c.Wait() // The error is expected: the process is ended by a signal.
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.ending {
			p.exits++
		}
	}()
	return nil
}

// SetProgram sets the path of the executable that later starts use. The running
// process is not changed.
func (p *Process) SetProgram(program string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.program = program
}

// Program returns the path of the executable of the last start, or "" before the first.
func (p *Process) Program() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started
}

// Signal sends a signal to the process if it was started.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.ending = p.ending || s == syscall.SIGKILL || s == syscall.SIGTERM
		_ = p.cmd.Process.Signal(s) // Fails if the process has already exited.
	}
}

// waitOrKill waits until the process exits and kills it after the timeout.
func (p *Process) waitOrKill(timeout time.Duration) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return // The process was never started.
	}
	select {
	case <-exited:
	case <-time.After(timeout):
		p.Signal(syscall.SIGKILL)
		<-exited
	}
}

// Restart ends the process with the signal, or with SIGKILL if it does not exit in
// time, and starts it again.
func (p *Process) Restart(s syscall.Signal) error {
	p.restarting.Lock()
	defer p.restarting.Unlock()
	p.Signal(s)
	p.waitOrKill(gracePeriod + time.Second)
	time.Sleep(restartDelay)
	return p.Start()
}

// Close kills the process, even while it is stopped by SIGSTOP. It cannot be
// restarted afterwards.
func (p *Process) Close() {
	p.restarting.Lock() // Never unlocked, so that a concurrent Restart cannot start it again.
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	p.waitOrKill(time.Second)
}

// IsReady reports whether the readiness probe succeeds.
func (p *Process) IsReady() bool {
	client := http.Client{Timeout: probeTimeout}
	response, err := client.Get("http://" + p.readinessAddress + "/v1/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}
