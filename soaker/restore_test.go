package soaker_test

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"burdocklane/platform/imitator"
	"burdocklane/sleeper"
)

const (
	minBackupAge = time.Second
	maxBackupAge = 9 * time.Second
	// maxLostConfigurations is the largest number of configurations that are put into
	// the store just before it is restored.
	maxLostConfigurations = 3
	// maxLostRevisions is the largest number of further revisions, which nobody makes
	// again.
	maxLostRevisions = 40
	// maxRewriteDelay is the longest time from the return of the store until the
	// operator or a worker has written again what was lost.
	maxRewriteDelay = 2 * time.Second
	// maxNextConfigurationDelay is the longest time from then until the next
	// configuration.
	maxNextConfigurationDelay = 2 * recoveryTime
)

// restoreStore takes the store down and brings it back from a copy of some seconds
// before. The operator and the workers write again what was lost; then a new
// configuration may take a revision that was given out before.
func restoreStore(ctx context.Context, f *fleet, rng *rand.Rand, duration time.Duration) {
	f.restoreMutex.Lock()
	defer f.restoreMutex.Unlock()
	var replacement sync.WaitGroup
	defer replacement.Wait()
	if rng.IntN(2) == 0 {
		workerRNG := rand.New(rand.NewPCG(rng.Uint64(), 0))
		replacement.Go(func() { replaceWorker(ctx, f, workerRNG, duration) })
	}
	for range rng.IntN(maxLostConfigurations + 1) {
		f.putNextConfiguration()
		sleeper.Sleep(ctx, duration/(2*maxLostConfigurations))
	}
	for range rng.IntN(maxLostRevisions + 1) {
		f.store.Put("status/soak", "x")
	}
	f.restoreBackup(ctx, rng, duration/2)
	sleeper.Sleep(ctx, randomDuration(rng, 0, maxNextConfigurationDelay))
	f.putNextConfiguration()
}

func (f *fleet) restoreBackup(ctx context.Context, rng *rand.Rand, outage time.Duration) {
	start := time.Now()
	f.store.SetDown(true)
	moment := start.Add(-randomDuration(rng, minBackupAge, maxBackupAge))
	if moment.Before(f.firstBackup) {
		moment = f.firstBackup
	}
	sleeper.Sleep(ctx, outage)
	lost := f.store.Restore(f.store.BackupAt(moment))
	f.store.SetDown(false)
	f.rewrite(ctx, rng, lost)
	f.recordDisturbance(nil, start, time.Now())
}

// rewrite makes the lost writes again, those of each key in order after a delay.
func (f *fleet) rewrite(ctx context.Context, rng *rand.Rand, lost []imitator.Write) {
	writesOfKeys := map[string][]imitator.Write{}
	var writers sync.WaitGroup
	for _, w := range lost {
		writesOfKeys[w.Key()] = append(writesOfKeys[w.Key()], w)
	}
	for _, key := range slices.Sorted(maps.Keys(writesOfKeys)) {
		delay := randomDuration(rng, 0, maxRewriteDelay)
		writers.Go(func() {
			sleeper.Sleep(ctx, delay)
			for _, w := range writesOfKeys[key] {
				f.store.Rewrite(w)
			}
		})
	}
	writers.Wait()
}

func randomDuration(rng *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
}
