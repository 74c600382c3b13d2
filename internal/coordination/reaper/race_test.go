//go:build race

package reaper_test

const raceEnabled = true
