// Command backend runs a fake backend server for tests.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/fake/supervisor"
	"oleanderpulley/internal/protocol/loader"
)

func main() {
	s := &backendserver.Server{}
	listen := flag.String("listen", "127.0.0.1:5432", "listen address for PostgreSQL clients")
	control := flag.String("control", "", "listen address of the HTTP control endpoint; none when empty")
	passwordFile := flag.String("password-file", "", "file with the password that clients must send")
	flag.StringVar(&s.ID, "id", "backend-1", "id of the backend server")
	flag.StringVar(&s.DataCentre, "data-centre", "", "data centre of the backend server")
	flag.StringVar(&s.Primary, "primary", "", "address of the primary to replicate from; empty to start as primary")
	flag.IntVar(&s.Slots, "slots", 0, "number of data statements that run at a time")
	flag.DurationVar(&s.ServiceTime, "service-time", 0, "duration of a data statement")
	flag.IntVar(&s.MaxConnections, "connections", 0, "maximum number of connections")
	flag.DurationVar(&s.ConnectCost, "connect-cost", 0, "duration of a login")
	flag.DurationVar(&s.ReceiveLag, "receive-lag", 0, "delay after which a replica receives a commit")
	flag.DurationVar(&s.ApplyLag, "apply-lag", 0, "delay after which a replica applies a commit")
	flag.Parse()
	if err := run(s, *listen, *control, *passwordFile); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(s *backendserver.Server, listen, control, passwordFile string) error {
	if passwordFile != "" {
		password, err := os.ReadFile(filepath.Clean(passwordFile))
		if err != nil {
			return err
		}
		s.Password = loader.CutLineEnd(string(password))
	}
	p := supervisor.Process{
		Start: func() (string, error) { return s.Start(listen) }, Close: s.Close,
		Control: s.ControlHandler(), ControlAddress: control,
	}
	return p.Run()
}
