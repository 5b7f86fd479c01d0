package main

import (
	"context"
	"fmt"
	"os"
	"sync"
)

// The exit codes of a case.
const (
	ruleHeld = iota
	ruleBroken
	notRun
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	err    error
}

// cases are the cases by name.
var cases = map[string]func(ctx context.Context, st *site, trouble bool) verdict{
	"drain":  playDrain,
	"revoke": playRevoke,
	"pages":  playPages,
}

func main() { os.Exit(play()) }

func play() int {
	const usage = "usage: bed CASE BINARY RECORD"
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, usage)
		return notRun
	}
	rec, err := newRecorder(os.Args[3])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.close()
	st, err := newSite(rec, os.Args[2], os.Args[1] == "pages")
	if st != nil {
		defer st.close()
	}
	if err != nil {
		rec.sayf("the case couldn't run: %v", err)
		return notRun
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := st.begin(ctx); err != nil {
		rec.sayf("the case couldn't run: %v", err)
		return notRun
	}
	clients, stop := context.WithCancel(ctx)
	var wait sync.WaitGroup
	st.runClients(clients, &wait)
	result := cases[os.Args[1]](ctx, st, os.Getenv("TROUBLE") != "0")
	stop()
	wait.Wait()
	switch {
	case result.err != nil:
		rec.sayf("the case couldn't run: %v", result.err)
		return notRun
	case result.broken:
		rec.sayf("the rule was broken")
		return ruleBroken
	default:
		rec.sayf("the rule held")
		return ruleHeld
	}
}
