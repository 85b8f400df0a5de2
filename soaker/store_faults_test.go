package soaker_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"burdocklane/platform/imitator"
	"burdocklane/sleeper"

	"github.com/Shopify/toxiproxy"
)

func storeFault(set func(*imitator.Store, bool)) injection {
	return func(ctx context.Context, f *fleet, _ *rand.Rand, duration time.Duration) {
		set(f.store, true)
		sleeper.Sleep(ctx, duration)
		set(f.store, false)
	}
}

func slowStore(ctx context.Context, f *fleet, _ *rand.Rand, duration time.Duration) {
	f.store.SetDelay(duration / 8)
	sleeper.Sleep(ctx, duration)
	f.store.SetDelay(0)
}

func compactStore(ctx context.Context, f *fleet, _ *rand.Rand, duration time.Duration) {
	for range 4 {
		f.store.Compact()
		f.store.Put("status/soak", "x")
		sleeper.Sleep(ctx, duration/4)
	}
}

// refusals are the ways in which the store refuses an instance.
var refusals = []imitator.Refusal{
	imitator.NewStatusRefusal(http.StatusServiceUnavailable),
	imitator.NewStatusRefusal(http.StatusTooManyRequests),
	imitator.ResetRefusal{},
	imitator.SilentRefusal{},
}

// refuseInstance makes the store refuse one instance while it serves the others. The
// configuration changes in that time.
func refuseInstance(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) {
	i := f.instances[rng.IntN(len(f.instances))]
	start := time.Now()
	i.entrance.SetRefusal(refusals[rng.IntN(len(refusals))])
	sleeper.Sleep(ctx, duration/4)
	f.putNextConfiguration()
	sleeper.Sleep(ctx, 3*duration/4)
	i.entrance.SetRefusal(imitator.NoRefusal{})
	f.recordDisturbance(i, start, time.Now())
}

// silenceWatches leaves the waiting watches of one instance or of all without a
// response for good. The store serves other requests, so time limits hold.
func silenceWatches(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) {
	if rng.IntN(2) == 0 {
		f.store.SilenceWatches()
	} else {
		f.instances[rng.IntN(len(f.instances))].entrance.SilenceWatches()
	}
	f.putNextConfiguration()
	sleeper.Sleep(ctx, duration)
}

func storeLinkFault(toxics ...func(*fleet, *toxiproxy.Proxy) func()) injection {
	return func(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) {
		i := f.instances[rng.IntN(len(f.instances))]
		start := time.Now()
		applyToxics(ctx, f, i.storeProxy, duration, toxics)
		f.recordDisturbance(i, start, time.Now())
	}
}
