//go:build review

package main

import (
	"fmt"
	"os"
)

// cases are the scripts' programs. Each returns how often the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (broken int, err error){}

// main plays one case: standins3 CASE FOLDER.
func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins3 CASE FOLDER")
		return 2
	}
	rec, err := newRecord(args[1] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	dir := os.Getenv("KEEP_DIR")
	if dir == "" {
		if dir, err = os.MkdirTemp("", "hyssoproad-review"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer os.RemoveAll(dir)
	}
	d, err := newDeployment(rec, dir)
	if err != nil {
		rec.say("could not run: %v", err)
		return 2
	}
	defer d.end()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, disruption %v", args[0], trouble)
	broken, err := cases[args[0]](d, trouble)
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return 2
	case broken > 0:
		rec.say("BROKEN: %d", broken)
		return 1
	}
	rec.say("held")
	return 0
}
