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

// User describes the installation of one user of the proxy, as in section 1.6
// of docs/design.md.
type User struct {
	Name        string
	DataCentres []identifier.DataCentre
	Service     string // Prefix of the names of its services, which are numbered from 1.
	Slots       int
	Connections int
	ConnectCost time.Duration
}

// Users returns the users whose installations the policies are measured on.
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

// Sizes, delays and loads that all users share.
const (
	userServices    = 3
	userWorkspaces  = 8
	largeWorkspaces = 2 // The first ones have largeSessions sessions.
	userInstances   = 12

	delayBetweenDataCentres = time.Millisecond     // One way.
	clientDelay             = 3 * time.Millisecond // One way.
	replicaLag              = 200 * time.Millisecond
	serviceTime             = 10 * time.Millisecond
	listLag                 = time.Second

	largeSessions = 24
	smallSessions = 8
	sessionRate   = 3.0  // Statements per second of a session.
	rateHeadroom  = 1.25 // Configured rate divided by the offered rate.
	burstSeconds  = 1.0  // Configured burst in seconds of the rate.
)

// workspace is a workspace with the service that it uses, its sessions and its
// configured rate.
type workspace struct {
	name     identifier.WorkspaceName
	service  identifier.ServiceName
	sessions int
	rate     float64
}

// workspaces returns the workspaces, spread evenly over the services.
func (u User) workspaces() []workspace {
	var list []workspace
	for i := range userWorkspaces {
		w := workspace{
			name:     identifier.WorkspaceName(fmt.Sprintf("workspace-%d", i)),
			service:  u.services()[i%userServices],
			sessions: smallSessions,
		}
		if i < largeWorkspaces {
			w.sessions = largeSessions
		}
		w.rate = float64(w.sessions) * sessionRate * rateHeadroom
		list = append(list, w)
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

// launcher returns the launcher of the installation, with delayed links and
// switchable policies.
func (u User) launcher(p *policySwitch) *launcher.Launcher {
	serversPlaced := 0
	l := &launcher.Launcher{
		DataCentres: u.DataCentres, Instances: userInstances / len(u.DataCentres), Services: u.services(),
		Workspaces: map[identifier.WorkspaceName]configurer.Workspace{},
		Slots:      u.Slots, Connections: u.Connections, ListLag: listLag,
		ConfigureServer: func(s *backendserver.Server) {
			// The groups' primaries are in different data centres.
			s.DataCentre = string(u.DataCentres[(serversPlaced%3+serversPlaced/3)%len(u.DataCentres)])
			serversPlaced++
			s.Slots, s.ServiceTime, s.ConnectCost = u.Slots, serviceTime, u.ConnectCost
			s.ReceiveLag, s.ApplyLag = replicaLag/2, replicaLag
		},
	}
	for _, w := range u.workspaces() {
		l.Workspaces[w.name] = configurer.Workspace{Rate: w.rate, Burst: w.rate * burstSeconds}
	}
	l.Overrides = func(_ identifier.InstanceID, dc identifier.DataCentre) runner.Overrides {
		return runner.Overrides{
			Hooks: p.wrapHooks, OnFailoverEvent: p.recordOpening, SuspectAfter: p.suspectAfter,
			Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				delay := delayBetweenDataCentres
				if to, ok := l.DataCentreOf(address); !ok || to == dc {
					delay = 0
				}
				return dialDelayed(ctx, network, address, delay)
			},
		}
	}
	return l
}
