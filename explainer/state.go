package explainer

import (
	"time"
)

// StateAt returns the state of an instance at a time, as the latest log line of each
// kind up to then. Decision lines are left out, and so are all lines from before the
// instance's last start.
func StateAt(lines []Line, instance string, at time.Time) []Line {
	latest := map[string]Line{}
	for _, l := range sortByTime(lines) {
		if l.instance != instance || l.message == decisionMessage || l.at.After(at) {
			continue
		}
		if l.message == startMessage {
			clear(latest)
		}
		delete(latest, superseded(l.message))
		latest[l.message] = l
	}
	state := make([]Line, 0, len(latest))
	for _, l := range latest {
		state = append(state, l)
	}
	return sortByTime(state)
}

const (
	startMessage    = "instance starts"
	lostMessage     = "lost the store"
	regainedMessage = "regained the store"
)

// superseded returns the message whose line no longer holds after the given one, or "".
func superseded(message string) string {
	switch message {
	case lostMessage:
		return regainedMessage
	case regainedMessage:
		return lostMessage
	}
	return ""
}
