// Command review-cases runs the scripted cases of the review. Each case starts entry
// hosts as separate processes with the command of the deploy file and plays the store,
// the operator, the workers and the clients itself, on loopback addresses.
//
// Exit status 0: the rule held. 1: it was broken. 2: the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases maps the names of the cases to their functions. A case returns the breaches of
// its rule that clients, workers or the platform have seen.
var cases = map[string]func(w *world) ([]string, error){
	"crash-mid-upload":   crashMidUpload,
	"early-answer-bytes": earlyAnswerBytes,
	"stop-cuts-request":  stopCutsRequest,
	"quota-partition":    quotaPartition,
	"slow-release":       slowRelease,
}

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, recordPath string) int {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	program, err = filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w := &world{
		program: program, dir: dir, trouble: os.Getenv("TROUBLE") != "0",
		record: &record{out: file, start: time.Now()}, store: newStore(),
	}
	defer w.stopAll()
	w.record.printf("case %s, disruption: %v", name, w.trouble)
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		select {
		case <-signals:
		case <-time.After(maxDuration):
		}
		w.record.printf("the case was ended before its time")
		w.stopAll()
		_ = os.RemoveAll(dir)
		os.Exit(2)
	}()
	breaches, err := cases[name](w)
	if err != nil {
		w.record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	for _, b := range breaches {
		w.record.printf("BREACH: %s", b)
	}
	if len(breaches) > 0 {
		fmt.Printf("%s: broken, %d breaches; the first: %s\n", name, len(breaches), breaches[0])
		return 1
	}
	w.record.printf("the rule held")
	fmt.Printf("%s: held\n", name)
	return 0
}
