// Package supervisor runs a fake of an outside system as a process of its own.
package supervisor

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// controlHeaderTimeout limits the time in which a request to the control endpoint
// sends its header.
const controlHeaderTimeout = 10 * time.Second

// Process is a fake that runs until a signal. Start and Close are required.
type Process struct {
	// Start listens and returns the address of the fake.
	Start func() (address string, err error)
	Close func() error
	// Control handles the requests to the control endpoint at ControlAddress.
	// There is no such endpoint if the address is empty.
	Control        http.Handler
	ControlAddress string
}

// Run starts the fake, prints its address and closes it after an interrupt, a
// SIGTERM or a failure of the control endpoint, which it returns.
func (p *Process) Run() error {
	address, err := p.Start()
	if err != nil {
		return err
	}
	fmt.Println("listening", address)
	controlErr := make(chan error, 1)
	if p.ControlAddress != "" {
		server := &http.Server{Addr: p.ControlAddress, Handler: p.Control, ReadHeaderTimeout: controlHeaderTimeout}
		go func() { controlErr <- server.ListenAndServe() }()
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case err = <-controlErr:
	case <-signals:
	}
	_ = p.Close() // The process ends in any case.
	return err
}
