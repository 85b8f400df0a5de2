package parser

// Names of the routing policies in the settings. Operators don't need to set
// one; policies other than the default are for experiments.
const (
	PolicyRandom        = "random"
	PolicyRoundRobin    = "round-robin"
	PolicyLeastInFlight = "least-in-flight"
	PolicyTwoChoices    = "two-choices"
	PolicyProbePool     = "probe-pool"
	PolicySharedSlots   = "shared-slots"
)

// Policies returns the names of all routing policies.
func Policies() []string {
	return []string{
		PolicyRandom, PolicyRoundRobin, PolicyLeastInFlight,
		PolicyTwoChoices, PolicyProbePool, PolicySharedSlots,
	}
}
