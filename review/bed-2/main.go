package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// cases are the scripted cases by name.
var cases = map[string]func(binary string, log *record, trouble bool) (broken bool, err error){
	"versions": versionsCase,
	"resumed":  resumedCase,
	"killed":   killedCase,
}

func main() { os.Exit(run()) }

func run() int {
	const usage = "usage: bed-2 CASE PROGRAM RECORD"
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usage)
		return notRun
	}
	log, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	broken, err := cases[os.Args[1]](os.Args[2], log, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		log.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	case broken:
		log.printf("the rule was broken")
		return ruleBroken
	default:
		log.printf("the rule held")
		return ruleHeld
	}
}
