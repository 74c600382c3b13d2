package allocator_test

import (
	"os"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/fake/allocator"
	"oleanderpulley/internal/fake/backendserver"
)

// Guards against two instances of one run that get the same port, so that one of
// them never becomes ready.
func TestFreeAddressIsGivenOutOnce(t *testing.T) {
	seen := map[string]bool{}
	for range 150 {
		address := freeAddress(t)
		qt.Assert(t, seen[address], qt.IsFalse, qt.Commentf("address %s", address))
		seen[address] = true
	}
}

// Guards against a test binary that runs out of ports because it starts many groups, one
// after another.
func TestReleasedAddressIsUsedAgain(t *testing.T) {
	for range 20_000 {
		allocator.Release(freeAddress(t))
	}
}

// Guards against a server that cannot start again, because the kernel gave its port to
// another socket while it was down.
func TestKernelGivesAddressToNoOtherSocket(t *testing.T) {
	bounds := []string{"49152", "65535"} // RFC 6335; Linux has its own.
	if data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
		bounds = strings.Fields(string(data))
	}
	qt.Assert(t, bounds, qt.HasLen, 2)
	first, err := strconv.Atoi(bounds[0])
	qt.Assert(t, err, qt.IsNil)
	last, err := strconv.Atoi(bounds[1])
	qt.Assert(t, err, qt.IsNil)
	group, err := backendserver.StartGroup("m", 1, nil)
	qt.Assert(t, err, qt.IsNil)
	defer func() { qt.Check(t, group.Close(), qt.IsNil) }()
	for name, address := range map[string]string{"free address": freeAddress(t), "member of a group": group.Servers()[0].Address()} {
		_, text, _ := strings.Cut(address, ":")
		port, err := strconv.Atoi(text)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, port < first || port > last, qt.IsTrue, qt.Commentf("%s: port %d, the kernel's range is %d to %d", name, port, first, last))
	}
}

func freeAddress(t *testing.T) string {
	address, err := allocator.FreeAddress()
	qt.Assert(t, err, qt.IsNil)
	return address
}
