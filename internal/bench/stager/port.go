package stager

import (
	"fmt"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// ErrNoPort is returned if no loopback port is free.
var ErrNoPort = errors.New("no loopback port is free")

// Ports of instances. They are below those that the kernel gives to outgoing
// connections, one of which could take the port before its process listens.
const (
	firstPort     = 20_000
	portBlocks    = 120
	portsPerBlock = 100
)

var ports portRange

// portRange gives out the ports of blocks that belong to this process alone. Each
// port is given out once, because an instance listens on it only later, and again
// after a restart.
type portRange struct {
	mu   sync.Mutex
	next int // 0 before the first block.
	end  int // First port after the block.

	// owned has one listener for each block, on the block's first port. It keeps
	// other processes from taking the block.
	owned []net.Listener
}

// FreeAddress returns a loopback address that neither this nor another process
// that uses FreeAddress gets again while this process runs. It returns
// [ErrNoPort] if all ports are taken.
func FreeAddress() (string, error) {
	return ports.take()
}

func (r *portRange) take() (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		if r.next == r.end {
			if err := r.reserveBlock(); err != nil {
				return "", err
			}
		}
		address := loopbackAddress(r.next)
		r.next++
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue // Another program uses the port.
		}
		return address, errors.Wrapf(l.Close(), "closing the listener of port %s", address)
	}
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
