package parser

// Names of the routing policies. Operators never need one; experiments do.
const (
	PolicyRandom      = "random"
	PolicyRoundRobin  = "round-robin"
	PolicyLeastLoad   = "least-in-flight"
	PolicyTwoChoices  = "two-choices"
	PolicyProbePool   = "probe-pool"
	PolicySharedSlots = "shared-slots"
)

// Policies returns the names of all routing policies.
func Policies() []string {
	return []string{
		PolicyRandom, PolicyRoundRobin, PolicyLeastLoad,
		PolicyTwoChoices, PolicyProbePool, PolicySharedSlots,
	}
}
