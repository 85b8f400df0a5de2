package bootstrapper

import (
	"time"

	"burdocklane/follower"
	adapter "burdocklane/platform"
	"burdocklane/registrar"
	"burdocklane/relayer"
	"burdocklane/storer"
)

const (
	// registrationDelay is how long an instance with one CPU waits at the start of a
	// whole zone before it registers itself. It grows with the inverse square of the
	// CPUs, so that the instances that will be the relays come first.
	registrationDelay    = 100 * time.Millisecond
	maxRegistrationDelay = time.Second
	// settleDelay is how long an instance that has registered itself looks for entries of
	// others that started with it, before it reads from the store.
	settleDelay = 500 * time.Millisecond
)

// discovery finds the first source of the keys. Only the goroutine of the follower uses
// it.
type discovery struct {
	self         registrar.Instance
	selector     *relayer.Selector
	register     func()
	registeredAt time.Duration // Since the start, or 0.
}

// firstSource chooses where this instance reads the keys first, by entries of its zone
// that may be stale. The first instances of a zone register themselves and read from the
// store; the others wait for them, read from them and are registered by them.
func (d *discovery) firstSource(listed []storer.Pair, waited time.Duration) follower.FirstSource {
	relays, selfListed := d.selector.FirstRelays(adapter.ParseInstances(listed))
	if len(relays) > 0 {
		return follower.NewFromRelays(relays...)
	}
	if d.registeredAt == 0 {
		return d.beforeRegistration(selfListed, waited)
	}
	if left := d.registeredAt + settleDelay - waited; left > 0 {
		return follower.NewNotYet(left)
	}
	return follower.FromStore{}
}

// beforeRegistration chooses for an instance that no other one ranks above. If its entry
// of an earlier start is listed, so are those of the others.
func (d *discovery) beforeRegistration(selfListed bool, waited time.Duration) follower.FirstSource {
	if selfListed {
		return follower.FromStore{}
	}
	if left := delayBeforeRegistration(d.self) - waited; left > 0 {
		return follower.NewNotYet(left)
	}
	d.registeredAt = waited
	d.register()
	return follower.NewNotYet(settleDelay)
}

// delayBeforeRegistration returns how long an instance waits for others of its zone. It
// differs between instances that are alike.
func delayBeforeRegistration(self registrar.Instance) time.Duration {
	longest := maxRegistrationDelay
	if cpus := self.CPUs(); cpus > 0 {
		longest = min(time.Duration(float64(registrationDelay)/(cpus*cpus)), maxRegistrationDelay)
	}
	share := float64(registrar.Hash(self.ID())) / (1 << 32)
	return longest/2 + time.Duration(share*float64(longest/2))
}
