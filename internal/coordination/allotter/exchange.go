package allotter

import (
	"math"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// Ask asks a peer for tokens.
type Ask struct {
	Wants map[identifier.WorkspaceName]float64 `cbor:"wants"`
}

// Grant hands tokens over. Left is what the giver could still give.
type Grant struct {
	Given map[identifier.WorkspaceName]float64 `cbor:"given"`
	Left  map[identifier.WorkspaceName]float64 `cbor:"left"`
}

// IsShort reports whether the workspace should ask a peer now, because its
// tokens do not last for the demand ahead.
func (a *Allotter) IsShort(w identifier.WorkspaceName) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.bucket(w)
	return b != nil && a.short(b)
}

func (a *Allotter) short(b *bucket) bool {
	now := a.now()
	if b.asking || now.Before(b.pauseTo) {
		return false
	}
	if b.available() < 1 && b.starved {
		return true
	}
	// A small demand asks when it needs a token: one that was fetched ahead
	// might not be spent.
	soon := b.demandAt(now) * ahead.Seconds() / 2
	return soon >= 1 && b.available() < soon
}

// Next returns a question and the peer to send it to, or false if there is
// nobody to ask. The caller ends it with [Allotter.Receive].
func (a *Allotter) Next(w identifier.WorkspaceName) (identifier.InstanceID, Ask, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.bucket(w)
	if b == nil || !a.short(b) {
		return "", Ask{}, false
	}
	peer, ok := a.peers.best(w, a.shares[w], a.now())
	if !ok {
		b.pauseTo = a.now().Add(minExhausted)
		return "", Ask{}, false
	}
	ask := Ask{Wants: map[identifier.WorkspaceName]float64{}}
	for name := range a.buckets {
		if o := a.bucket(name); o == b || a.short(o) {
			ask.Wants[name] = o.want()
		}
	}
	b.asking = true
	return peer, ask, true
}

// want is the number of tokens that the demand ahead lacks. It makes up a whole
// token at least.
func (b *bucket) want() float64 {
	return max(1, b.demand*ahead.Seconds()) - min(b.available(), 1-minPortion)
}

// minPortion is the least part of a token that is asked for.
const minPortion = 0.05

// portion is what a giver hands over: all that is wanted, or whole tokens. A
// part of a token is of no use to the asker and would be missing here.
func portion(wanted, spare float64) float64 {
	if wanted <= spare {
		return wanted
	}
	return math.Floor(spare)
}

// Receive ends a question for the workspace with the peer's grant, or with nil
// if no answer came.
func (a *Allotter) Receive(w identifier.WorkspaceName, from identifier.InstanceID, g *Grant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if g == nil {
		a.peers.silent(from, now)
	} else {
		for name, given := range g.Given {
			if b := a.bucket(name); b != nil && given > 0 {
				b.grants = append(b.grants, grant{given, now.Add(grantLife)})
			}
		}
		a.peers.learn(from, g.Left, now)
	}
	b := a.bucket(w)
	if b == nil {
		return
	}
	b.asking = false
	b.asks++
	if b.available() >= 1 {
		b.asks = 0
		b.starved = false
	} else if b.asks >= asksInRow {
		b.asks = 0
		b.pauseTo = now.Add(a.shares[w].pause())
	}
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// pause is how long nobody is asked after peers had no tokens: until the whole
// rate gives the next one, within bounds.
func (s Share) pause() time.Duration {
	if s.Limit.Rate <= 0 {
		return maxExhausted
	}
	next := time.Duration(float64(time.Second) / s.Limit.Rate)
	return min(max(next, minExhausted), maxExhausted)
}

// Changed returns a channel that is closed when the question of the workspace
// that is under way ends, or nil if none is.
func (a *Allotter) Changed(w identifier.WorkspaceName) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.bucket(w)
	if b == nil || !b.asking {
		return nil
	}
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// Give takes out of the buckets what a peer asks for, as far as this instance
// does not need it itself.
func (a *Allotter) Give(ask Ask) Grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := Grant{Given: map[identifier.WorkspaceName]float64{}, Left: map[identifier.WorkspaceName]float64{}}
	now := a.now()
	for w, wanted := range ask.Wants {
		b := a.bucket(w)
		if b == nil || !(wanted > 0) {
			continue
		}
		spare := max(0, b.tokens-b.demandAt(now)*kept.Seconds())
		given := portion(wanted, spare)
		b.tokens -= given
		if given > 0 {
			g.Given[w] = given
		}
		g.Left[w] = spare - given
	}
	return g
}

// askTimeout bounds the wait for a peer's grant.
const askTimeout = 150 * time.Millisecond
