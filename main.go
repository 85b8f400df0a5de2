// Command burdocklane is a load balancer for servers whose load shifts in
// milliseconds.
package main

import (
	"os"

	"burdocklane/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
