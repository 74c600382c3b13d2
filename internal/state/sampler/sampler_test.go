package sampler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/state/identifier"
	"oleanderpulley/internal/state/sampler"
)

func at(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

func position(term, offset uint64) identifier.Position {
	return identifier.Position{Term: identifier.Term(term), Offset: identifier.LogOffset(offset)}
}

func ExampleSampler_Floor() {
	var s sampler.Sampler
	s.Add(sampler.Sample{Position: position(1, 10), RequestedAt: at(1)})
	s.Add(sampler.Sample{Position: position(1, 20), RequestedAt: at(2)})
	n, ok := s.Floor(at(1.5))
	fmt.Println(n.Position, ok)
	_, ok = s.Floor(at(2.5))
	fmt.Println(ok)
	// Output:
	// 1/20 true
	// false
}

// Guards against a floor from a term whose tail a promotion discarded: no
// replica of the new term would ever reach it.
func TestNewTermDiscardsOlderSamples(t *testing.T) {
	var s sampler.Sampler
	s.Add(sampler.Sample{Position: position(1, 90), RequestedAt: at(1)})
	s.Add(sampler.Sample{Position: position(2, 80), RequestedAt: at(2)})
	n, ok := s.Floor(at(0.5))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, n.Position, qt.Equals, position(2, 80))
	s.Add(sampler.Sample{Position: position(1, 95), RequestedAt: at(3)})
	_, ok = s.Floor(at(2.5))
	qt.Assert(t, ok, qt.IsFalse)
}

// Guards against delayed samples being recorded as newer than they are.
func TestLateSampleIsDropped(t *testing.T) {
	var s sampler.Sampler
	s.Add(sampler.Sample{Position: position(1, 20), RequestedAt: at(2)})
	s.Add(sampler.Sample{Position: position(1, 10), RequestedAt: at(1)})
	n, ok := s.Latest()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, n.Position, qt.Equals, position(1, 20))
}

// Guards against memory use that grows for as long as a service is in use.
func TestSamplesAreBounded(t *testing.T) {
	var s sampler.Sampler
	for i := range 200_000 {
		s.Add(sampler.Sample{Position: position(1, uint64(i)), RequestedAt: at(float64(i) * 0.02)})
	}
	_, ok := s.Floor(at(0))
	qt.Assert(t, ok, qt.IsTrue)
	since, ok := s.Missing(position(1, 0))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, since > at(200_000*0.02-11), qt.IsTrue)
}
