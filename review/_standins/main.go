// Command _standins plays the cases of this review that are scripts: it starts the
// gateway processes, and plays the platform, the engines and the clients. It must be run
// in the root of the repository, after the build of the deploy file.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"quiet":   runQuiet,
	"deep":    runDeep,
	"silence": runSilence,
	"parts":   runParts,
	"inner":   runInner,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: _standins CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, file string) int {
	rec, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		rec.add("stopped by a signal")
		killStarted()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %t", name, trouble)
	broken, err := cases[name](rec, trouble)
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		rec.add("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
