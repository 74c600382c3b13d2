package player

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Kinds are the faults that a day may name.
var Kinds = map[string]func(s *stage, f Fault){
	"kill_instance": func(s *stage, _ Fault) { s.restart(0, syscall.SIGKILL) },
	"stop_instance": func(s *stage, _ Fault) { s.restart(0, syscall.SIGTERM) },
	"kill_all": func(s *stage, _ Fault) {
		for i := range s.instances {
			go s.restart(i, syscall.SIGKILL)
		}
	},
	"pause_instance": func(s *stage, f Fault) {
		s.instances[0].Signal(syscall.SIGSTOP)
		time.Sleep(f.For.Duration())
		s.instances[0].Signal(syscall.SIGCONT)
	},
	"store_away": func(s *stage, f Fault) {
		s.store.SetFault(func(string, string) int { return http.StatusServiceUnavailable })
		time.Sleep(f.For.Duration())
		s.store.SetFault(nil)
	},
	"primary_silent": func(s *stage, f Fault) {
		p := s.proxies[s.group.Leader()]
		if p != nil {
			p.BlackholeFor(f.For.Duration())
		}
	},
	"replicas_behind": func(s *stage, f Fault) {
		leader := s.group.Leader()
		for id, m := range s.members {
			m.Hold(id != leader)
		}
		time.Sleep(f.For.Duration())
		for _, m := range s.members {
			m.Hold(false)
		}
	},
	"flood": func(s *stage, f Fault) {
		s.flood.Store(int64(f.Times * floodUnit))
		time.Sleep(f.For.Duration())
		s.flood.Store(floodUnit)
	},
}

// floodUnit stands for the usual load of the first workspace.
const floodUnit = 1000

func (s *stage) restart(i int, signal syscall.Signal) {
	if err := s.instances[i].Restart(signal); err != nil {
		fmt.Println("fault:", err)
	}
}
