// Command burdocklane-instance runs one instance on the users' platform. It is a
// separate program so that a small machine need not carry the tools.
package main

import (
	"os"

	"burdocklane/runner"
)

func main() {
	os.Exit(runner.Run(os.Args[1:], os.Stdout, os.Stderr))
}
