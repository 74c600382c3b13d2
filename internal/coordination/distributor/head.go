package distributor

import (
	"encoding/json"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
)

// maxOutcomes is the number of settled attempts that the head records. At the
// target of 1,400 changes a day it covers half an hour, which is longer than
// operators take to repeat a submission, and adds about 4 KB to every read of
// the head by a relay.
const maxOutcomes = 32

// Head holds the accepted version, the open proposal and the latest outcomes.
type Head struct {
	Revision uint64    `json:"-" cbor:"revision"` // The platform's version of the object.
	Accepted RecordRef `json:"accepted" cbor:"accepted"`
	Proposal *Proposal `json:"proposal,omitempty" cbor:"proposal,omitempty"`
	Outcomes []Outcome `json:"outcomes,omitempty" cbor:"-"` // Oldest first; not sent to peers.
}

// RecordRef identifies a stored record. The zero value stands for the empty
// version 0.
type RecordRef struct {
	Version identifier.ConfigVersion `json:"version" cbor:"version"`
	Name    string                   `json:"name,omitempty" cbor:"name"` // Common name of the parts, without the part number.
	Parts   int                      `json:"parts,omitempty" cbor:"parts"`
	Digest  string                   `json:"digest,omitempty" cbor:"digest"` // Hexadecimal SHA-256 of the record.
}

// Proposal is a version that is proposed and not yet accepted.
type Proposal struct {
	Ref           RecordRef             `json:"ref" cbor:"ref"`
	Attempt       string                `json:"attempt" cbor:"attempt"`
	ContentDigest string                `json:"request" cbor:"request"` // Digest of Submission.Content.
	Proposer      identifier.InstanceID `json:"proposer" cbor:"proposer"`
}

// Outcome is the recorded result of an attempt. Refusal is empty when the
// version was accepted.
type Outcome struct {
	Attempt       string                   `json:"attempt" cbor:"attempt"`
	ContentDigest string                   `json:"request" cbor:"request"`
	Version       identifier.ConfigVersion `json:"version" cbor:"version"`
	Refusal       string                   `json:"refusal,omitempty" cbor:"refusal,omitempty"`
}

func decodeHead(o Object) (Head, error) {
	h := Head{Revision: o.Version}
	if o.Version == 0 {
		return h, nil
	}
	return h, errors.Wrap(json.Unmarshal(o.Value, &h), "head")
}

// outcome returns the recorded result of an attempt.
func (h Head) outcome(attempt string) (Outcome, bool) {
	for _, o := range h.Outcomes {
		if o.Attempt == attempt {
			return o, true
		}
	}
	return Outcome{}, false
}

// withProposalSettled returns the head after the open proposal is settled:
// accepted if refusal is empty, otherwise withdrawn for that reason.
func (h Head) withProposalSettled(refusal string) Head {
	p := h.Proposal
	next := Head{Accepted: h.Accepted}
	next.Outcomes = append(append(next.Outcomes, h.Outcomes...), Outcome{
		Attempt: p.Attempt, ContentDigest: p.ContentDigest, Version: p.Ref.Version, Refusal: refusal,
	})
	next.Outcomes = next.Outcomes[max(0, len(next.Outcomes)-maxOutcomes):]
	if refusal == "" {
		next.Accepted = p.Ref
	}
	return next
}
