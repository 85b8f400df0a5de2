// Command standin3 plays the scripts of the third review: a store, workers and consumers on
// loopback addresses around processes of burdocklane-instance.
//
//	standin3 CASE RECORD
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the
// case could not run. TROUBLE=0 plays the case without what breaks the rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusUnable = 2
)

var cases = map[string]func(*play){
	"limits": playLimits,
	"quota":  playQuota,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) (status int) {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		return statusUnable
	}
	record, err := os.Create(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusUnable
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusUnable
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	p := newPlay(record, dir, os.Getenv("TROUBLE") != "0")
	defer p.close()
	defer func() {
		if failure, ok := recover().(unable); ok {
			p.logf("the case could not run: %s", failure)
			status = statusUnable
		}
	}()
	cases[args[0]](p)
	if p.broken > 0 {
		p.logf("BROKEN: %d times", p.broken)
		return statusBroken
	}
	p.logf("held")
	return statusHeld
}

// program is the program of deploy/system.toml, which is run in the root of the repository.
var program = filepath.Join("target", "burdocklane-instance")
