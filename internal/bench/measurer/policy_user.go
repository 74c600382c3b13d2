package measurer

import (
	"context"
	"fmt"
	"net"
	"time"

	"oleanderpulley/internal/command/runner"
	"oleanderpulley/internal/fake/backendserver"
	"oleanderpulley/internal/fake/launcher"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// User is one of the installations of section 1.6 of the design page.
type User struct {
	Name        string
	DataCentres []identifier.DataCentre
	Service     string // Its three services are numbered.
	Slots       int
	Connections int
	ConnectCost time.Duration
}

// Users returns the installations that the policies are measured for.
func Users() []User {
	return []User{
		{
			Name: "obi-y-seda", DataCentres: []identifier.DataCentre{"centro-a", "centro-b", "centro-c"},
			Service: "rentas-core", Slots: 3, Connections: 50, ConnectCost: 12 * time.Millisecond,
		},
		{
			Name: "atlas", DataCentres: []identifier.DataCentre{"maarif", "ainsebaa", "hayhassani", "sidimaarouf"},
			Service: "membooks", Slots: 5, Connections: 100, ConnectCost: 30 * time.Millisecond,
		},
	}
}

// Sizes that both users share.
const (
	userServices   = 3
	userWorkspaces = 8
	largeCount     = 2 // The first workspaces.
	userInstances  = 12

	betweenCentres = time.Millisecond     // One way.
	toClients      = 3 * time.Millisecond // One way.
	replicaLag     = 200 * time.Millisecond
	serviceTime    = 10 * time.Millisecond
	listLag        = time.Second

	largeSessions = 24
	smallSessions = 8
	sessionRate   = 3.0  // Statements a second that each session offers.
	headroom      = 1.25 // Configured rate relative to the offered load.
	burstSeconds  = 1.0  // Configured burst in seconds of the rate.
)

// tenant is a workspace of an installation.
type tenant struct {
	name     identifier.WorkspaceName
	service  identifier.ServiceName
	sessions int
	rate     float64
}

// tenants returns the workspaces; each uses one service.
func (u User) tenants() []tenant {
	var list []tenant
	for i := range userWorkspaces {
		t := tenant{
			name:     identifier.WorkspaceName(fmt.Sprintf("workspace-%d", i)),
			service:  u.services()[i%userServices],
			sessions: smallSessions,
		}
		if i < largeCount {
			t.sessions = largeSessions
		}
		t.rate = float64(t.sessions) * sessionRate * headroom
		list = append(list, t)
	}
	return list
}

func (u User) services() []identifier.ServiceName {
	var list []identifier.ServiceName
	for i := range userServices {
		list = append(list, identifier.ServiceName(fmt.Sprintf("%s-%d", u.Service, i+1)))
	}
	return list
}

// launcher returns the installation with delayed links and switchable policies.
func (u User) launcher(p *policies) *launcher.Launcher {
	placed := 0
	l := &launcher.Launcher{
		DataCentres: u.DataCentres, Instances: userInstances / len(u.DataCentres), Services: u.services(),
		Workspaces: map[identifier.WorkspaceName]configurer.Workspace{},
		Slots:      u.Slots, Connections: u.Connections, ListLag: listLag,
		Member: func(s *backendserver.Server) {
			// The groups' primaries are in different data centres.
			s.DataCentre = string(u.DataCentres[(placed%3+placed/3)%len(u.DataCentres)])
			placed++
			s.Slots, s.ServiceTime, s.ConnectCost = u.Slots, serviceTime, u.ConnectCost
			s.ReceiveLag, s.ApplyLag = replicaLag/2, replicaLag
		},
	}
	for _, t := range u.tenants() {
		l.Workspaces[t.name] = configurer.Workspace{Rate: t.rate, Burst: t.rate * burstSeconds}
	}
	l.Override = func(_ identifier.InstanceID, dc identifier.DataCentre) runner.Overrides {
		return runner.Overrides{
			Hooks: p.hooks, OnFailoverEvent: p.failover, SuspectAfter: p.suspectAfter,
			Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				delay := betweenCentres
				if to, ok := l.DataCentreOf(address); !ok || to == dc {
					delay = 0
				}
				return dialDelayed(ctx, network, address, delay)
			},
		}
	}
	return l
}
