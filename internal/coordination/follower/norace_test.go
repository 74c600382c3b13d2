//go:build !race

package follower_test

const raceEnabled = false
