package sharer_test

import (
	"math"
	"time"
)

// change is a limit and the time from which it is in force.
type change struct {
	at          time.Time
	rate, burst float64
}

// excess returns the largest amount, over all time windows, by which the
// admissions in a window exceed the integral of the rate plus the largest burst
// in force during the window. Admissions and changes must be ordered by time.
// For a constant limit one pass suffices; with changes every pair of admissions
// is compared.
func excess(admissions []admission, changes []change) float64 {
	integral := func(t time.Time) float64 {
		sum := 0.0
		for i, c := range changes {
			end := t
			if i+1 < len(changes) && changes[i+1].at.Before(t) {
				end = changes[i+1].at
			}
			if end.After(c.at) {
				sum += c.rate * end.Sub(c.at).Seconds()
			}
		}
		return sum
	}
	worst := math.Inf(-1)
	if len(changes) == 1 {
		sum, lowest := 0.0, math.Inf(1)
		for _, a := range admissions {
			lowest = min(lowest, sum-integral(a.at))
			sum += a.cost
			worst = max(worst, sum-integral(a.at)-lowest-changes[0].burst)
		}
		return worst
	}
	refilled := make([]float64, len(admissions))
	for i, a := range admissions {
		refilled[i] = integral(a.at)
	}
	for i, a := range admissions {
		sum, k, burst := 0.0, 0, 0.0
		for ; k < len(changes) && !changes[k].at.After(a.at); k++ {
			burst = changes[k].burst
		}
		for j := i; j < len(admissions); j++ {
			for ; k < len(changes) && !changes[k].at.After(admissions[j].at); k++ {
				burst = max(burst, changes[k].burst)
			}
			sum += admissions[j].cost
			worst = max(worst, sum-(refilled[j]-refilled[i])-burst)
		}
	}
	return worst
}
