// Command _servers plays the cases of the review that cannot be put as a day of the
// bench. It starts the product as separate processes, takes the place of their platform,
// engines and clients, and writes what happened to a record.
//
//	target/_servers CASE RECORD TROUBLE
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With 0 for TROUBLE it leaves the disruption out.
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
	exitNotRun = 2
)

// scriptTimeout bounds the time that a case may take.
const scriptTimeout = 110 * time.Second

// cases maps the names of the cases to what plays them. Each reports whether the rule was
// broken.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"announced": playAnnounced,
	"isolated":  playIsolated,
	"leaving":   playLeaving,
	"reset":     playReset,
	"unread":    playUnread,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: _servers CASE RECORD TROUBLE")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Args[3] != "0"
	r.add("case %s, with the disruption: %v", os.Args[1], trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](r, trouble)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	// The processes that were started end with this one.
	select {
	case x := <-done:
		switch {
		case x.err != nil:
			r.add("the case could not run: %v", x.err)
			return exitNotRun
		case x.broken:
			r.add("the rule was broken")
			return exitBroken
		}
		r.add("the rule held")
		return exitHeld
	case s := <-signals:
		r.add("the case could not run: %v", s)
	case <-time.After(scriptTimeout):
		r.add("the case could not run: it took longer than %s", scriptTimeout)
	}
	return exitNotRun
}
