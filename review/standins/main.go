//go:build review

// Command standins plays one case of the review: it starts the stand-ins of clients,
// engines and the platform, and the project's programs as processes between them. It
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// play plays a case and reports whether its rule was broken.
type play func(record *os.File, trouble bool) (broken bool, err error)

var plays = map[string]play{"stop": playStop}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		return 2
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	broken, err := plays[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		fmt.Fprintln(record, "could not run:", err)
		return 2
	case broken:
		fmt.Println("the rule was broken")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
