// Package hedger makes hedged requests: it asks one source after another, each a short
// time after the one before, and takes the first answer.
package hedger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"burdocklane/timekeeper"
)

// NoWinner is the winner if all tries failed, or the context ended before.
const NoWinner = -1

// Try asks one source. It must return soon after its context is done.
type Try func(ctx context.Context) error

// race is the tries of one hedged request.
type race struct {
	ctx      context.Context
	tries    []Try
	results  chan result
	started  int
	ended    int
	running  sync.WaitGroup
	lastPart atomic.Int64 // When a part of an answer arrived, since begun, or 0.
	begun    time.Time
}

type result struct {
	try int
	err error
}

// Do makes the tries until one succeeds, and returns its number and the errors of those
// that failed before. The next try starts when one fails, or once none has received a
// part of its answer for delay: a long answer that arrives is not asked for twice. All
// tries have returned when Do returns.
func Do(ctx context.Context, delay time.Duration, tries ...Try) (winner int, errs []error) {
	errs = make([]error, len(tries))
	r := &race{tries: tries, results: make(chan result, len(tries)), begun: time.Now()}
	defer r.running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.ctx = timekeeper.WithObserver(ctx, func() { r.lastPart.Store(int64(time.Since(r.begun))) })
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for r.startNext(); r.ended < r.started && ctx.Err() == nil; timer.Reset(delay) {
		select {
		case ended := <-r.results:
			r.ended++
			if ended.err == nil {
				return ended.try, errs
			}
			errs[ended.try] = ended.err
			r.startNext()
		case <-timer.C:
			if !r.isAnswered(delay) {
				r.startNext()
			}
		}
	}
	return NoWinner, errs
}

// startNext starts the next try, if there is one.
func (r *race) startNext() {
	if r.started == len(r.tries) {
		return
	}
	try := r.started
	r.started++
	r.running.Go(func() { r.results <- result{try: try, err: r.tries[try](r.ctx)} })
}

// isAnswered reports whether a part of an answer has arrived within the given time.
func (r *race) isAnswered(within time.Duration) bool {
	last := time.Duration(r.lastPart.Load())
	return last > 0 && time.Since(r.begun)-last < within
}
