package fencer

import (
	"time"

	"oleanderpulley/internal/state/cataloger"
	"oleanderpulley/internal/state/identifier"
)

// Contact is the part of an answer that lets the receiver use primaries under an
// older proof. It names every replacement that the sender knows to be announced,
// so that the receiver does not use a primary whose replacement the sender has
// confirmed.
type Contact struct {
	// Known reports whether Age is the age of a contact to a data centre other
	// than the receiver's.
	Known         bool                                            `cbor:"known"`
	Age           time.Duration                                   `cbor:"age"`
	Announcements map[identifier.ServiceName]cataloger.Leadership `cbor:"announcements,omitempty"`
}

// AnswerContact returns the contact for an instance of the same or another data
// centre, or nil before the first proof.
func (f *Fencer) AnswerContact(sameDataCentre bool) *Contact {
	if _, proven := f.Holder.Age(); !proven {
		return nil
	}
	c := Contact{Known: true}
	if sameDataCentre {
		c.Age, c.Known = f.ContactAge()
	}
	// The announcements are read last, so that they are not older than the age.
	c.Announcements = f.Announcements()
	return &c
}

// ObserveContact takes over an answer to a request that was sent at the clock
// reading.
func (f *Fencer) ObserveContact(c *Contact, sentAt time.Duration) {
	if c == nil {
		return
	}
	for service, r := range c.Announcements {
		f.Observe(service, r)
	}
	if c.Known && c.Age >= 0 {
		f.SetContact(sentAt - c.Age)
	}
}
