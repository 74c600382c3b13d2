package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

var errNotReady = errors.New("instances are not ready")

const (
	program     = "target/oleanderpulley" // With the arguments of deploy/system.toml.
	entryConfig = "deploy/entry.jsonc"
	clientPort  = 8465
	readyPort   = 8460
	peerPort    = 7560
)

// instanceSettings are the settings of an instance that differ between cases.
type instanceSettings struct {
	name, zone, ip      string
	store, cloud        string
	requireFencing      bool
	bootstrap           bool
	extra               []string // Further lines of the settings file.
	directory, rootPath string
}

// instance is a process of the project.
type instance struct {
	settings instanceSettings
	rec      *record

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	wanted bool // A signal that ends it was sent.
}

func (s instanceSettings) text() string {
	lines := []string{
		"nodeName=" + s.name, "role=entry", "machineClass=front", "serves=front", "ip=" + s.ip, "zone=" + s.zone, "region=r1",
		"zones." + s.zone + "=r1",
		fmt.Sprintf("listen.front=%s:%d", s.ip, clientPort), fmt.Sprintf("listen.readiness=%s:%d", s.ip, readyPort),
		fmt.Sprintf("internalPorts=%d,%d", peerPort, peerPort+15), fmt.Sprintf("bootstrap=%t", s.bootstrap), "countsAsLoss=false",
		"limits.cpuShare=0.272", "limits.cpuCores=1", "limits.memoryMb=206", "limits.maxFds=3010", "limits.linkMbps=700.0", "limits.diskMb=0",
		"discovery=platform", "entry=vip", "heartbeatMs=1200",
		"bounds.seedLagS=3", "bounds.reuseDelayS=2", "bounds.stableWindowMs=4000", "bounds.ackTimeoutMs=5000", "bounds.catchUpS=4",
		"bounds.drainTimeoutMs=7000", "bounds.graceS=6", "bounds.lossSlackMs=200", "bounds.configApplyMs=3000", "bounds.rollbackSlackMs=250",
		"bounds.maxSkewMs=12000", "bounds.revokeWhenPartitioned=true", "bounds.revokeMs=5000", "bounds.quotaWindowS=5",
		"bounds.quotaOverage=0.1", "bounds.quotaSlack=20", "bounds.recoveryS=12", fmt.Sprintf("bounds.requireFencing=%t", s.requireFencing), "bounds.thawMs=300",
		"platform.address=" + s.store, "platform.form=objects", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
		"platform.valueBytes=1048576", "platform.ttlMinMs=1000",
		"cloud.address=" + s.cloud, "cloud.ratePerS=50.0", "cloud.duties=failover", "cloud.dutyPerS=50.0",
	}
	return strings.Join(append(lines, s.extra...), "\n") + "\n"
}

func newInstance(s instanceSettings, rec *record) *instance {
	return &instance{settings: s, rec: rec}
}

// start starts the process. Its log goes to a file in the temporary folder.
func (i *instance) start() error {
	boot := filepath.Join(i.settings.directory, i.settings.name+".conf")
	if err := os.WriteFile(boot, []byte(i.settings.text()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.settings.directory, i.settings.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // A temporary folder.
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join(i.settings.rootPath, program), "entry", "--config", filepath.Join(i.settings.rootPath, entryConfig)) //nolint:gosec // The project's own program.
	c.Env = append(os.Environ(), "OLEANDERPULLEY_BOOT="+boot)
	c.Dir, c.Stdout, c.Stderr = i.settings.rootPath, log, log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.mu.Lock()
	i.cmd, i.exited, i.wanted = c, exited, false
	i.mu.Unlock()
	i.rec.add("instance %s started, process %d", i.settings.name, c.Process.Pid)
	go func() {
		err := c.Wait()
		_ = log.Close()
		i.rec.add("instance %s ended: %v", i.settings.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.wanted = i.wanted || s == syscall.SIGTERM || s == syscall.SIGKILL
	i.rec.add("instance %s gets %s", i.settings.name, s)
	_ = i.cmd.Process.Signal(s)
}

// ended returns a channel that is closed when the process has ended.
func (i *instance) ended() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.exited
}

// kill ends the process.
func (i *instance) kill() {
	i.mu.Lock()
	c, exited := i.cmd, i.exited
	i.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGCONT)
	_ = c.Process.Kill()
	<-exited
}

// client returns the address for clients.
func (i *instance) client() string {
	return net.JoinHostPort(i.settings.ip, fmt.Sprint(clientPort))
}

// ready asks the readiness probe.
func (i *instance) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/ready", i.settings.ip, readyPort), http.NoBody) //nolint:gosec // A loopback address.
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request) //nolint:gosec // A loopback address.
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts the instances and waits until all are ready.
func startAll(all []*instance) error {
	for _, i := range all {
		if err := i.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, i := range all {
			if i.ready() {
				ready++
			}
		}
		if ready == len(all) {
			return nil
		}
	}
	return errNotReady
}
