//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime is how long a case may take.
const maxTime = 110 * time.Second

// cases are the scripts by the number of their folder.
var cases = map[string]func(*world) bool{
	"lost": shortGrace, "drain": lateBeat, "twice": silentAgent, "cut": preemptedStream,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], filepath.Join(os.Args[2], "record.txt")))
}

// runCase runs a case and returns the exit code.
func runCase(run func(*world) bool, record string) (code int) {
	var w *world
	defer func() {
		if w != nil {
			defer w.close()
		}
		switch r := recover().(type) {
		case nil:
		case fatal:
			fmt.Fprintln(os.Stderr, r.err)
			code = exitNotRun
		default:
			panic(r)
		}
	}()
	w = newWorld(record, os.Getenv("TROUBLE") != "0")
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxTime):
		}
		w.close()
		os.Exit(exitNotRun)
	}()
	if run(w) {
		w.note("the rule was broken")
		return exitBroken
	}
	w.note("the rule held")
	return exitHeld
}
