// Package exampler carries the example configurations inside the program.
package exampler

import (
	_ "embed" // For the examples.
)

//go:embed authority.json
var authority []byte

//go:embed association.json
var association []byte

// Authority returns the configuration of the Tanzania Woven Label Authority.
func Authority() []byte { return authority }

// Association returns the configuration of the Jordanian Carafe Etchers
// Association.
func Association() []byte { return association }
