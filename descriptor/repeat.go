package descriptor

// Repeat says whether a call of a class may run more than once. It is one of
// Idempotent or AtMostOnce.
type Repeat interface{ repeat() }

// Idempotent marks work that may run several times with the effect of once.
type Idempotent struct{}

// AtMostOnce marks work that must never run twice.
type AtMostOnce struct{}

func (Idempotent) repeat() {}
func (AtMostOnce) repeat() {}

// RepeatText returns the configuration's word for r.
func RepeatText(r Repeat) string {
	switch r.(type) {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "at-most-once"
	}
	return ""
}
