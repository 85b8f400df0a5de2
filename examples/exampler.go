// Package exampler embeds the example configurations.
package exampler

import (
	_ "embed" // For the go:embed directives.
)

//go:embed authority.json
var authority []byte

//go:embed association.json
var association []byte

// Authority returns the example configuration of the Tanzania Woven Label
// Authority.
func Authority() []byte { return authority }

// Association returns the example configuration of the Jordanian Carafe Etchers
// Association.
func Association() []byte { return association }
