package allotter

import (
	"math/rand/v2"
	"slices"
	"time"

	"oleanderpulley/internal/state/identifier"
)

const (
	// silence is the time for which a peer without an answer is not asked.
	silence = time.Second
)

// Peer is an instance that shares the rates.
type Peer struct {
	ID         identifier.InstanceID
	DataCentre identifier.DataCentre
}

// peers remembers what the other instances could give. Those of the own data
// centre are asked first.
type peers struct {
	near, far []*peer
}

type peer struct {
	id          identifier.InstanceID
	silentUntil time.Time
	levels      map[identifier.WorkspaceName]level
}

type level struct {
	tokens float64
	at     time.Time
}

func (p *peers) set(self identifier.InstanceID, members []Peer) {
	known := map[identifier.InstanceID]*peer{}
	for _, list := range [][]*peer{p.near, p.far} {
		for _, e := range list {
			known[e.id] = e
		}
	}
	var home identifier.DataCentre
	for _, m := range members {
		if m.ID == self {
			home = m.DataCentre
		}
	}
	p.near, p.far = nil, nil
	for _, m := range members {
		if m.ID == self {
			continue
		}
		e, ok := known[m.ID]
		if !ok {
			e = &peer{id: m.ID, levels: map[identifier.WorkspaceName]level{}}
		}
		if m.DataCentre == home {
			p.near = append(p.near, e)
		} else {
			p.far = append(p.far, e)
		}
	}
}

// best returns the owner that probably has most tokens of the workspace, one
// at least. Owners of the own data centre go first.
func (p *peers) best(w identifier.WorkspaceName, s Share, now time.Time) (identifier.InstanceID, bool) {
	gain := s.Limit.Rate / float64(max(1, len(s.Owners)))
	full := s.Limit.Burst / float64(max(1, len(s.Owners)))
	for _, list := range [][]*peer{p.near, p.far} {
		if len(list) == 0 {
			continue
		}
		start := rand.IntN(len(list))
		var found *peer
		most := 0.0
		for i := range list {
			e := list[(start+i)%len(list)]
			if now.Before(e.silentUntil) || !slices.Contains(s.Owners, e.id) {
				continue
			}
			level := full
			if l, ok := e.levels[w]; ok {
				level = min(full, l.tokens+gain*now.Sub(l.at).Seconds())
			}
			if level >= min(1, full) && level > most {
				found, most = e, level
			}
		}
		if found != nil {
			return found.id, true
		}
	}
	return "", false
}

func (p *peers) find(id identifier.InstanceID) *peer {
	for _, list := range [][]*peer{p.near, p.far} {
		for _, e := range list {
			if e.id == id {
				return e
			}
		}
	}
	return nil
}

func (p *peers) learn(id identifier.InstanceID, left map[identifier.WorkspaceName]float64, now time.Time) {
	e := p.find(id)
	if e == nil {
		return
	}
	for w, tokens := range left {
		e.levels[w] = level{tokens, now}
	}
}

func (p *peers) silent(id identifier.InstanceID, now time.Time) {
	if e := p.find(id); e != nil {
		e.silentUntil = now.Add(silence)
	}
}
