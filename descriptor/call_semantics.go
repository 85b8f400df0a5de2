package descriptor

// CallSemantics states whether a call of a class may be executed more than once. It is
// either Idempotent or AtMostOnce.
type CallSemantics interface{ callSemantics() }

// Idempotent marks calls that have the same effect when executed several times.
type Idempotent struct{}

// AtMostOnce marks calls that must never be executed twice.
type AtMostOnce struct{}

func (Idempotent) callSemantics() {}
func (AtMostOnce) callSemantics() {}

// CallSemanticsText returns the text for r in a configuration document.
func CallSemanticsText(r CallSemantics) string {
	switch r.(type) {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "at-most-once"
	}
	return ""
}
