// Command standin2 plays the cases of the second review: it is the platform's store, its
// workers and the consumers, and starts the instances as processes of their own.
//
// Usage: standin2 CASE PROGRAM RECORD. TROUBLE=0 leaves the disruption out. It exits with 0
// if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	statusHeld = iota
	statusBroken
	statusNotRun
)

// maxCaseTime bounds a case, whatever happens.
const maxCaseTime = 110 * time.Second

// cases are the cases by their names.
var cases = map[string]func(*play) (bool, error){
	"slash":   playSlash,
	"id":      playID,
	"path":    playPath,
	"options": playOptions,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		os.Exit(statusNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, recordPath string) int {
	p, err := newPlay(program, recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer p.close()
	timer := time.AfterFunc(maxCaseTime, func() {
		p.record.line("the case took too long")
		p.close()
		os.Exit(statusNotRun)
	})
	defer timer.Stop()
	broken, err := cases[name](p)
	switch {
	case err != nil:
		p.record.line("could not run: %v", err)
		return statusNotRun
	case broken:
		p.record.line("the rule was broken")
		return statusBroken
	}
	p.record.line("the rule held")
	return statusHeld
}
