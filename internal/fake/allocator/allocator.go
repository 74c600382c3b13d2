package allocator

import (
	"fmt"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// ErrNoPort is returned if no loopback port is free.
var ErrNoPort = errors.New("no loopback port is free")

// The ports are below those that the kernel gives to outgoing connections and to
// listeners on port 0.
const (
	firstPort     = 20_000
	portBlocks    = 120
	portsPerBlock = 100
)

var ports portRange

// portRange allocates the ports of blocks that belong to this process alone.
type portRange struct {
	mu   sync.Mutex
	next int // 0 before the first block.
	end  int // First port after the block.

	// owned has one listener for each block, on the block's first port. It keeps
	// other processes from taking the block.
	owned []net.Listener
	// released has the addresses to allocate again, in the order of their release.
	released []string
}

// FreeAddress returns a loopback address that neither this nor another process
// that uses FreeAddress gets again before it is released or this process ends. It
// returns [ErrNoPort] if all ports are taken.
func FreeAddress() (string, error) {
	return ports.allocate()
}

// Release allows FreeAddress to return the address again. Nothing may listen on it
// afterwards.
func Release(address string) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	ports.released = append(ports.released, address)
}

func (r *portRange) allocate() (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		address, err := r.nextAddress()
		if err != nil {
			return "", err
		}
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue // Another program uses the port.
		}
		return address, errors.Wrapf(l.Close(), "closing the listener of port %s", address)
	}
}

// nextAddress returns an address of the current block, or a released one, or the first one
// of another block.
func (r *portRange) nextAddress() (string, error) {
	if r.next == r.end {
		if len(r.released) > 0 {
			address := r.released[0]
			r.released = r.released[1:]
			return address, nil
		}
		if err := r.reserveBlock(); err != nil {
			return "", err
		}
	}
	r.next++
	return loopbackAddress(r.next - 1), nil
}

// reserveBlock takes the first block that no process owns.
func (r *portRange) reserveBlock() error {
	for block := range portBlocks {
		first := firstPort + block*portsPerBlock
		l, err := net.Listen("tcp4", loopbackAddress(first))
		if err != nil {
			continue
		}
		r.owned = append(r.owned, l)
		r.next, r.end = first+1, first+portsPerBlock
		return nil
	}
	return ErrNoPort
}

func loopbackAddress(port int) string {
	return fmt.Sprint("127.0.0.1:", port)
}
