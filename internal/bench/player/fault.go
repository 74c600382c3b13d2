package player

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// FaultKinds maps the kind of a [Fault] to the function that injects it.
var FaultKinds = map[string]func(e *environment, f Fault){
	"kill_instance": func(e *environment, _ Fault) { e.restart(0, syscall.SIGKILL) },
	"stop_instance": func(e *environment, _ Fault) { e.restart(0, syscall.SIGTERM) },
	"kill_all": func(e *environment, _ Fault) {
		for i := range e.instances {
			go e.restart(i, syscall.SIGKILL)
		}
	},
	"pause_instance": func(e *environment, f Fault) {
		e.instances[0].Signal(syscall.SIGSTOP)
		time.Sleep(f.For.Duration())
		e.instances[0].Signal(syscall.SIGCONT)
	},
	"store_away": func(e *environment, f Fault) {
		e.store.SetFault(func(string, string) int { return http.StatusServiceUnavailable })
		time.Sleep(f.For.Duration())
		e.store.SetFault(nil)
	},
	"primary_silent": func(e *environment, f Fault) {
		p := e.proxies[e.group.Primary()]
		if p != nil {
			p.BlackholeFor(f.For.Duration())
		}
	},
	"replicas_behind": func(e *environment, f Fault) {
		primary := e.group.Primary()
		for id, m := range e.members {
			m.PauseReplication(id != primary)
		}
		time.Sleep(f.For.Duration())
		for _, m := range e.members {
			m.PauseReplication(false)
		}
	},
	"flood": func(e *environment, f Fault) {
		e.floodFactor.Store(int64(f.Times * floodScale))
		time.Sleep(f.For.Duration())
		e.floodFactor.Store(floodScale)
	},
}

// floodScale is the value of the flood factor at the normal load of the first
// workspace. The factor is an integer, so that it can be read and set atomically.
const floodScale = 1000

func (e *environment) restart(i int, signal syscall.Signal) {
	if err := e.instances[i].Restart(signal); err != nil {
		fmt.Println("fault:", err)
	}
}
