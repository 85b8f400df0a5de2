package limiter_test

import (
	"context"
	"regexp"
	"strconv"
	"testing"
	"time"

	"burdocklane/descriptor"
	"burdocklane/limiter"
	"burdocklane/picker"
	"burdocklane/registrar"
	"burdocklane/tracker"

	qt "github.com/frankban/quicktest"
)

// Load: one worker for all calls, beside others that get none or hardly any. These must not
// count as room: calls would wait for them in vain. Nor must evacuated ones count in the
// tenants' shares.
func TestRoomIsOfWorkersThatGetCalls(t *testing.T) {
	zone, hot := registrar.NewLocality("r", "z"), descriptor.NewTenant("hot")
	others := func(change func(registrar.Worker) registrar.Worker) []registrar.Worker {
		workers := make([]registrar.Worker, 0, 9)
		for n := range cap(workers) {
			workers = append(workers, change(registrar.NewWorker(registrar.WorkerID(strconv.Itoa(n)), "s", "", zone, 3, false)))
		}
		return workers
	}
	tests := []struct {
		name    string
		others  []registrar.Worker
		minLead time.Duration
	}{
		{"alone", nil, 800 * time.Millisecond},
		{"evacuated", others(registrar.Worker.AsEvacuated), 800 * time.Millisecond},
		{"cold", others(func(w registrar.Worker) registrar.Worker { return w.WithStart(1, time.Minute) }), 0}, // Shares are of all slots.
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			self := registrar.NewInstance("i", "", "", zone, false)
			p := limiter.New("s", self, limiter.WithPolicy(picker.ReportedLoad{}))
			p.SetWarmup(descriptor.NewWarmup(time.Minute, 1))
			p.SetRanksCalls(true)
			p.Update(append(test.others, registrar.NewWorker("warm", "s", "", zone, 3, false)), []registrar.Instance{self})
			warm := p.Find("warm")
			for range 3 {
				p.RecordReport(warm, tracker.NewReport(0, 0, 3, 1, p.Now()))
				granted, ok := p.Acquire(context.Background(), newRankedRequest(longTarget, longTarget, limiter.WithTenant(&hot, true))).(limiter.Granted)
				c.Assert(ok, qt.IsTrue)
				c.Assert(granted.Worker(), qt.Equals, warm)
				p.RecordAnswer(granted, 6*time.Second, false)
				granted.Release()
			}
			for _, w := range p.Workers() {
				p.RecordReport(w, tracker.NewReport(3, 0, 3, 1, p.Now()))
			}
			refused, ok := p.Acquire(context.Background(), newRankedRequest(longTarget, 0, limiter.WithTenant(&hot, true))).(limiter.Refused)
			c.Assert(ok, qt.IsTrue)
			summary := refused.CandidateSummary().String()
			c.Assert(refused.RetryAfter() > time.Second, qt.IsTrue, qt.Commentf("%v", refused.RetryAfter()))
			lead, err := time.ParseDuration(regexp.MustCompile(`tenant-lead=(\S+)`).FindStringSubmatch(summary)[1])
			c.Assert(err, qt.IsNil)
			c.Assert(lead >= test.minLead, qt.IsTrue, qt.Commentf("%s", summary))
		})
	}
}
