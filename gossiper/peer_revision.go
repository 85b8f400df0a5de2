package gossiper

import (
	"time"

	"burdocklane/storer"
)

// maxPeerRevisionAge is how long a revision that a peer has sent is passed on after it was
// last heard.
const maxPeerRevisionAge = 2 * time.Second

// peerRevision is a revision of the store that peers have sent. It is immutable.
type peerRevision struct {
	revision storer.Revision
	at       time.Duration
}

// hear records a revision that a peer has sent, unless a later one was heard within
// maxPeerRevisionAge. Only the goroutine that receives calls it.
func (i *Gossiper) hear(revision storer.Revision, now time.Duration) {
	if !revision.Before(i.heardRevision()) {
		i.heard.Store(&peerRevision{revision: revision, at: now})
	}
}

// heardRevision returns the latest revision that was heard within maxPeerRevisionAge.
func (i *Gossiper) heardRevision() storer.Revision {
	if heard := i.heard.Load(); heard != nil && i.now()-heard.at <= maxPeerRevisionAge {
		return heard.revision
	}
	return storer.Revision{}
}
