// Command review-2 plays the script cases of the second review: it starts hosts with the
// command of the deploy file and stand-ins of the platform, of workers and of clients.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){
	"behind-broken":   behindBroken,
	"early-answer":    earlyAnswer,
	"first-start":     firstStart,
	"first-start-key": firstStartKey,
	"reader-killed":   readerKilled,
	"stalled-answer":  stalledAnswer,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	os.Exit(run(*name, *path, os.Getenv("TROUBLE") != "0"))
}

func run(name, path string, trouble bool) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.file.Close()
	d, err := newDeployment(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	broken, err := play(d, trouble)
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		r.add("the rule was broken")
		return exitBroken
	}
	r.add("the rule held")
	return exitHeld
}
