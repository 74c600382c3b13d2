// Command platform runs a fake platform for tests.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"oleanderpulley/internal/fake/platformserver"
	"oleanderpulley/internal/fake/supervisor"
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
	p := supervisor.Process{
		Start: func() (string, error) { return s.Start(listen) }, Close: s.Close,
		Control: s.ControlHandler(), ControlAddress: control,
	}
	return p.Run()
}
