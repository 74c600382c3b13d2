package distributor

import (
	"context"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// ErrUnexpectedMessage reports a message body of a type that this package does
// not handle.
var ErrUnexpectedMessage = errors.New("message is not of the configuration")

// Handle processes a message of a peer and returns the answer.
func (d *Distributor) Handle(ctx context.Context, from identifier.InstanceID, body any) (any, error) {
	switch m := body.(type) {
	case ConfigState:
		if m.RecordName != "" {
			return d.handleRecordRequest(m)
		}
		if m.Head != nil {
			if err := d.adopt(ctx, *m.Head, m.Roster, from); err != nil {
				return nil, err
			}
		}
		return d.confirmation(), nil
	case ConfigConfirmation:
		return d.handleConfirmation(m), nil
	case PreparedReport:
		if m.State != nil && m.State.Head != nil {
			if err := d.adopt(ctx, *m.State.Head, m.State.Roster, from); err != nil {
				return nil, err
			}
		}
		d.pushToMembers(ctx)
		return d.preparedMessage(), nil
	default:
		return nil, errors.Wrapf(ErrUnexpectedMessage, "%T", body)
	}
}

func (d *Distributor) handleRecordRequest(m ConfigState) (any, error) {
	data, ok := d.records.Get(m.RecordName)
	if !ok {
		return ConfigState{}, nil
	}
	if m.BaseName != "" {
		return d.deltas.getOrCompute(m.RecordName, m.BaseName, func() ConfigState { return d.computeDelta(data, m.BaseName) }), nil
	}
	parts := configurer.Split(data, configurer.MaxPartBytes)
	if m.Part < 0 || m.Part >= len(parts) {
		return ConfigState{}, nil
	}
	return ConfigState{Record: parts[m.Part]}, nil
}

func (d *Distributor) handleConfirmation(m ConfigConfirmation) ConfigConfirmation {
	d.recordConfirmation(m)
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.confirmationLocked()
	if m.Revision < c.Revision || m.DataCentre == d.DataCentre && m.Roster < c.Roster {
		c.State = d.stateForLocked(m.DataCentre)
	}
	return c
}
