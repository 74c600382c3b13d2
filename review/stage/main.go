package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripted cases by name. Each reports whether its rule was broken.
var cases = map[string]func(*world) (broken bool, err error){
	"route-move":   routeMove,
	"drain":        drain,
	"sync-lost":    syncLost,
	"reborn":       reborn,
	"reborn-count": rebornCount,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run plays the case that the first argument names. The second one is its folder.
func run(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Println("usage: stage CASE FOLDER")
		return exitNotRun
	}
	w, err := newWorld(arguments[1])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer w.close()
	broken, err := cases[arguments[0]](w)
	w.recordRuns()
	switch {
	case err != nil:
		w.rec.say("the case could not run: %v", errors.Cause(err))
		return exitNotRun
	case broken:
		w.rec.say("the rule was broken")
		return exitBroken
	}
	w.rec.say("the rule held")
	return exitHeld
}
