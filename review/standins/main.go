// Command cases runs the scripted cases of the review. Each case starts the routers with
// the command of the deploy file and plays the platform around them: the store, the
// servers beside the routers, and the consumers.
//
//	cases NAME RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRunTime bounds one run of a case.
const maxRunTime = 115 * time.Second

// cases are the scripted cases by name. A case returns how often the rule was broken.
var cases = map[string]func(*deployment) (broken int, err error){
	"resent-body":      resentBody,
	"forgotten-leave":  forgottenLeave,
	"idle-connections": idleConnections,
	"lower-birth":      lowerBirth,
	"cut-answers":      cutAnswers,
	"explore-keys":     exploreKeys,
	"explore":          explore,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		return exitFailed
	}
	d, err := newDeployment(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer d.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-ended
		d.close()
		os.Exit(exitFailed)
	}()
	time.AfterFunc(maxRunTime, func() {
		d.record("the run took too long")
		d.close()
		os.Exit(exitFailed)
	})
	broken, err := cases[os.Args[1]](d)
	switch {
	case err != nil:
		d.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken > 0:
		d.record("RESULT: the rule was broken %d times", broken)
		fmt.Printf("the rule was broken %d times\n", broken)
		return exitBroken
	}
	d.record("RESULT: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
