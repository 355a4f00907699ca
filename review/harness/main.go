// Command harness runs the scripts of the second independent review. It starts routers as
// processes and plays the store, the servers, the consumers and the platform itself.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases returns whether the rule of the case was broken.
var cases = map[string]func(options) bool{
	"stop-pipelined": stopPipelined,
	"split-route":    splitRoute,
	"late-read":      lateRead,
	"early-answer":   earlyAnswer,
	"fuzz":           fuzz,
	"owner-fuzz":     ownerFuzz,
}

func main() {
	os.Exit(run())
}

func run() (code int) {
	repository := flag.String("repository", "../..", "root of the repository")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	path := flag.String("record", "record.txt", "file that gets the record")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "usage: harness [flags] CASE")
		return exitNotRun
	}
	file, err := os.Create(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	defer func() {
		if v := recover(); v != nil {
			err, ok := v.(error)
			if !ok || !errors.Is(err, errSetup) {
				panic(v)
			}
			fmt.Fprintln(os.Stderr, err)
			code = exitNotRun
		}
	}()
	o := options{repository: *repository, trouble: *trouble, record: &record{file: file, start: time.Now()}}
	if play(o) {
		return exitBroken
	}
	return exitHeld
}
