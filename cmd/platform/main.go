// Command platform runs a fake platform for tests.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"oleanderpulley/internal/fake/platformserver"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:7070", "listen address of the platform API")
	control := flag.String("control", "", "additional listen address of the control endpoint, which works while the API is down")
	listLag := flag.Duration("list-lag", 0, "delay until a change of the instance list is visible")
	flag.Parse()
	if err := run(*listen, *control, *listLag); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(listen, control string, listLag time.Duration) error {
	s := &platformserver.Server{ListLag: listLag}
	address, err := s.Start(listen)
	if err != nil {
		return err
	}
	fmt.Println("listening", address)
	controlErr := make(chan error, 1)
	if control != "" {
		controlServer := &http.Server{Addr: control, Handler: s.ControlHandler(), ReadHeaderTimeout: 10 * time.Second}
		go func() { controlErr <- controlServer.ListenAndServe() }()
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case err = <-controlErr:
	case <-signals:
	}
	_ = s.Close()
	return err
}
