package ranker

import "time"

const (
	// minSamples is the number of calls from which on the timeouts of a class are known.
	minSamples = 20
	// timeoutWeight is the weight of a new call in the moving average of the timeouts.
	timeoutWeight = 0.05
	// quantileStep is the largest share by which one call moves the lower quantile, and
	// lowerQuantile the share of calls that are below it.
	quantileStep  = 0.02
	lowerQuantile = 0.05
	// repeatMargin is by which share of the mean a timeout has to be below the lower quantile
	// to be that of a repeat.
	repeatMargin = 0.03
)

// Patience is what is known of the timeouts that callers give the calls of a class. A
// caller that repeats a refused call gives it only the rest of its time, so that a call
// with an unusually short timeout has been waiting for some time already. The zero value
// knows nothing.
type Patience struct {
	samples int
	mean    time.Duration
	lower   time.Duration // Lower quantile.
}

// With returns p after another first request of a caller.
func (p Patience) With(timeout time.Duration) Patience {
	if timeout <= 0 {
		return p
	}
	if p.samples == 0 {
		return Patience{samples: 1, mean: timeout, lower: timeout}
	}
	p.samples = min(p.samples+1, minSamples)
	p.mean += time.Duration(timeoutWeight * float64(timeout-p.mean))
	step := quantileStep * float64(p.mean)
	if timeout < p.lower {
		p.lower -= time.Duration((1 - lowerQuantile) * step)
	} else {
		p.lower += time.Duration(lowerQuantile * step)
	}
	return p
}

// Elapsed returns how long the caller of a call with the timeout is expected to have been
// waiting already, or 0 if the timeout is a usual one.
func (p Patience) Elapsed(timeout time.Duration) time.Duration {
	shortest := p.lower - time.Duration(repeatMargin*float64(p.mean))
	if p.samples < minSamples || timeout <= 0 || timeout >= shortest {
		return 0
	}
	return max(p.mean-timeout, 0)
}
