package descriptor

import "time"

// Target is the outcome that operators ask of a class: the given quantile of
// its calls is answered within the latency.
type Target struct {
	latency  time.Duration
	quantile float64
}

// NewTarget returns a Target. The quantile lies between 0 and 1, exclusive.
func NewTarget(latency time.Duration, quantile float64) Target {
	return Target{latency: latency, quantile: quantile}
}

// Latency returns the time within which a call has to be answered.
func (t Target) Latency() time.Duration { return t.latency }

// Quantile returns the share of calls that has to meet the latency.
func (t Target) Quantile() float64 { return t.quantile }

// Measuring bounds what an instance may spend on learning the state of servers.
type Measuring struct {
	bytesPerSecond int64
	workerShare    float64
}

// NewMeasuring returns a budget of bytes per second for each instance and of
// a share, 0 to 1, of the workers' time.
func NewMeasuring(bytesPerSecond int64, workerShare float64) Measuring {
	return Measuring{bytesPerSecond: bytesPerSecond, workerShare: workerShare}
}

// BytesPerSecond returns the traffic that an instance may spend on measuring.
func (m Measuring) BytesPerSecond() int64 { return m.bytesPerSecond }

// WorkerShare returns the share of worker time that measuring may take.
func (m Measuring) WorkerShare() float64 { return m.workerShare }
