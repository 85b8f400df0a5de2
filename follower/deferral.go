package follower

import (
	"time"

	"burdocklane/storer"

	"github.com/go-faster/errors"
)

// storeRetryInterval is how often an instance reads the store itself while its relays say
// that they have lost it: they try it more often, for all instances of the zone.
const storeRetryInterval = 5 * time.Second

// deferral decides when an instance leaves it to its relays to find out whether the store
// serves again. The zero value leaves nothing to them.
type deferral struct {
	relayLost     bool // A relay has said that it has lost the store.
	storeFailed   bool
	storeFailedAt time.Duration
}

// observe notes why a source did not deliver the keys.
func (d *deferral) observe(s source, err error, now time.Duration) {
	var lost *storer.RelayLostStoreError
	switch s.(type) {
	case relaySource:
		d.relayLost = d.relayLost || errors.As(err, &lost)
	case storeSource:
		d.storeFailed, d.storeFailedAt = true, now
	case fallbackSource:
	}
}

// skipsStore reports whether the store need not be read now: both this instance and a
// relay have lost it, and this instance has tried lately.
func (d *deferral) skipsStore(now time.Duration) bool {
	return d.relayLost && d.storeFailed && now-d.storeFailedAt < storeRetryInterval
}
