// Command review-3 plays the cases of the third review: it starts the entry hosts of a
// small deployment as separate processes, with stand-ins of the store, the workers and the
// clients in this process, and judges by what these have seen.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	usageLine = "usage: review-3 CASE RECORD"
)

var cases = map[string]func(w *world, trouble bool) int{
	"drill":        drill,
	"badrequests":  badRequests,
	"encodedslash": encodedSlash,
	"lasttenant":   lastTenant,
	"lapse":        lapse,
	"unordered":    unordered,
}

func main() { os.Exit(play(os.Args[1:])) }

func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, usageLine)
		return couldNot
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	w, err := newWorld(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer w.close()
	status := cases[args[0]](w, os.Getenv("TROUBLE") != "0")
	r.say("exit status %d", status)
	return status
}
