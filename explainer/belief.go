package explainer

import (
	"time"
)

// Beliefs returns, for an instance, the latest line of each kind up to a time:
// what it believed then. Lines about calls are left out, and so is all from before
// its last start.
func Beliefs(lines []Line, instance string, at time.Time) []Line {
	latest := map[string]Line{}
	for _, l := range inOrder(lines) {
		if l.instance != instance || l.message == decisionMessage || l.at.After(at) {
			continue
		}
		if l.message == startMessage {
			clear(latest)
		}
		delete(latest, opposite(l.message))
		latest[l.message] = l
	}
	beliefs := make([]Line, 0, len(latest))
	for _, l := range latest {
		beliefs = append(beliefs, l)
	}
	return inOrder(beliefs)
}

const (
	startMessage    = "instance starts"
	lostMessage     = "lost the store"
	regainedMessage = "regained the store"
)

// opposite returns the kind of line that the given one makes void, or "".
func opposite(message string) string {
	switch message {
	case lostMessage:
		return regainedMessage
	case regainedMessage:
		return lostMessage
	}
	return ""
}
