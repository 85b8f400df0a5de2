package limiter

import (
	"strconv"
	"time"

	"burdocklane/ranker"
)

// rankingSummary is what the rank of a call was based on, for the decision log. The zero
// value is that of a call without a rank.
type rankingSummary struct {
	call        ranker.Call
	untilTarget time.Duration
	ahead       int // Queued calls that go first, or -1 if another instance knows.
	wait        time.Duration
	verdict     string
}

// Words for the verdicts in logs and metrics.
const (
	verdictWait        = "wait"
	verdictWaitBriefly = "wait-briefly"
	verdictRefuse      = "refuse"
)

func verdictText(v ranker.Verdict) string {
	switch v.(type) {
	case ranker.Wait:
		return verdictWait
	case ranker.WaitBriefly:
		return verdictWaitBriefly
	case ranker.Refuse:
	}
	return verdictRefuse
}

// append appends the summary in the format of logs.
func (s rankingSummary) append(b []byte) []byte {
	if s.verdict == "" {
		return b
	}
	if len(b) > 0 {
		b = append(b, ' ')
	}
	b = strconv.AppendInt(append(b, "priority="...), int64(s.call.Priority()), 10)
	durations := [...]struct {
		name  string
		value time.Duration
	}{{" target-left=", s.untilTarget}, {" work=", s.call.Work()}, {" tenant-lead=", s.call.Lead()}, {" room-in=", s.wait}}
	for _, d := range durations {
		b = append(append(b, d.name...), d.value.Round(time.Millisecond).String()...)
	}
	if s.ahead >= 0 {
		b = strconv.AppendInt(append(b, " ahead="...), int64(s.ahead), 10)
	}
	return append(append(b, " verdict="...), s.verdict...)
}
