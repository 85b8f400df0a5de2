package descriptor

import "time"

// Target is the latency objective of a class: the given quantile of its calls
// is answered within the latency.
type Target struct {
	latency  time.Duration
	quantile float64
}

// NewTarget returns a Target. The quantile must be between 0 and 1, exclusive.
func NewTarget(latency time.Duration, quantile float64) Target {
	return Target{latency: latency, quantile: quantile}
}

// Latency returns the time within which a call is to be answered.
func (t Target) Latency() time.Duration { return t.latency }

// Quantile returns the share of calls that is to meet the latency.
func (t Target) Quantile() float64 { return t.quantile }

// MeasurementBudget is the budget for measuring the state of workers.
type MeasurementBudget struct {
	bytesPerSecond int64
	workerShare    float64
}

// NewMeasurementBudget returns a budget of traffic, in bytes per second for each
// instance, and of worker time, as a share from 0 to 1.
func NewMeasurementBudget(bytesPerSecond int64, workerShare float64) MeasurementBudget {
	return MeasurementBudget{bytesPerSecond: bytesPerSecond, workerShare: workerShare}
}

// BytesPerSecond returns the traffic that each instance may use for measuring.
func (m MeasurementBudget) BytesPerSecond() int64 { return m.bytesPerSecond }

// WorkerShare returns the share of worker time that measuring may use.
func (m MeasurementBudget) WorkerShare() float64 { return m.workerShare }
