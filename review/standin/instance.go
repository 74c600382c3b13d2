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
	"syscall"
	"time"
)

// deployCommand is `run` of deploy/system.toml. It is started in the repository's root.
const deployCommand = "target/oleanderpulley entry --config deploy/entry.jsonc"

// instance is one process of the project.
type instance struct {
	name, client, ready string
	cmd                 *exec.Cmd
}

// freePort returns a free port of the address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// settings returns the settings file of an instance, with the bounds of
// obiseda-pool.
func settings(name, zone, ip string, ports []int, store string, fencing bool) string {
	lines := []string{
		"nodeName=" + name, "role=entry", "machineClass=front", "serves=front", "ip=" + ip,
		"zone=" + zone, "region=mx-centro", "zones.centro-a=mx-centro", "zones.centro-b=mx-centro", "zones.centro-c=mx-centro",
		fmt.Sprintf("listen.front=%s:%d", ip, ports[0]), fmt.Sprintf("listen.readiness=%s:%d", ip, ports[1]),
		fmt.Sprintf("internalPorts=%d,%d", ports[2], ports[2]), "bootstrap=true",
		"limits.cpuShare=0.272", "limits.cpuCores=1", "limits.memoryMb=206", "limits.maxFds=3010", "limits.linkMbps=700.0",
		"discovery=platform", "entry=vip", "heartbeatMs=1200",
		"contracts=base,drain,config,cost,recover,sql,tenants,quota,platform",
		"bounds.stableWindowMs=4000", "bounds.drainTimeoutMs=7000", "bounds.graceS=6", "bounds.configApplyMs=3000",
		"bounds.revokeWhenPartitioned=true", "bounds.revokeMs=5000", fmt.Sprintf("bounds.requireFencing=%v", fencing), "bounds.thawMs=300",
		"platform.address=" + store, "platform.form=objects", "platform.writesPerS=400", "platform.readsPerS=2000",
		"cloud.address=" + store, "cloud.duties=failover", "cloud.dutyPerS=50.0",
	}
	return strings.Join(lines, "\n") + "\n"
}

// startInstance writes the settings of an instance and starts its process.
func startInstance(directory, name, zone, ip, store string, fencing bool) (*instance, error) {
	var ports []int
	for range 3 {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports = append(ports, port)
	}
	file := filepath.Join(directory, name+".conf")
	if err := os.WriteFile(file, []byte(settings(name, zone, ip, ports, store, fencing)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(directory, name+".log")) //nolint:gosec // In the temporary folder of the run.
	if err != nil {
		return nil, err
	}
	words := strings.Fields(deployCommand)
	cmd := exec.Command(words[0], words[1:]...) //nolint:gosec // The command of the deploy file.
	cmd.Env = append(os.Environ(), "OLEANDERPULLEY_BOOT="+file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return &instance{name, fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1]), cmd}, nil
}

// isReady reports whether the readiness probe succeeds.
func (i *instance) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.ready+"/v1/ready", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends the process.
func (i *instance) stop() {
	_ = i.cmd.Process.Signal(syscall.SIGKILL)
	_ = i.cmd.Wait() // The error is expected.
}
