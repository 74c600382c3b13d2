package promoter

import (
	"time"

	"oleanderpulley/internal/state/identifier"
)

// Step is a step of an attempt to open a term.
type Step string

// Steps in their order. Each is reported after its completion.
const (
	StepDecided  Step = "decided"  // The group's record names the new term.
	StepFenced   Step = "fenced"   // A majority of the members has promised the term.
	StepWaited   Step = "waited"   // No write right of an older term is valid any more.
	StepPromoted Step = "promoted" // The chosen member is primary.
	StepFollowed Step = "followed" // The other fenced members were sent the follow command.
	StepOpened   Step = "opened"   // The group's record is marked open.
	StepFailed   Step = "failed"   // The attempt ended with Err.
)

// Gap is the time without a primary, divided into phases.
type Gap struct {
	Detection time.Duration // From the last answer of a failed primary to the start of the attempt.
	Decision  time.Duration // Querying the peers, waiting for this instance's turn, and updating the group's record.
	Fencing   time.Duration // Until a majority has promised the term.
	Waiting   time.Duration // Until no write right of an older term is valid any more.
	Opening   time.Duration // Promotion of the chosen member.
}

// Total returns the sum of the phases.
func (g Gap) Total() time.Duration {
	return g.Detection + g.Decision + g.Fencing + g.Waiting + g.Opening
}

// Event reports a completed step of an attempt, or its failure.
type Event struct {
	Service identifier.ServiceName
	Term    identifier.Term // Term of the attempt; 0 for StepFailed.
	Step    Step
	Reason  Reason
	Primary identifier.BackendServerID // New primary from StepPromoted on; before, that of the last open term. Empty for StepFailed.
	Gap     Gap                        // Phases completed so far; the others are 0.
	Err     error                      // Cause of StepFailed, else nil.
}
