package inspector

import (
	"time"

	"burdocklane/limiter"
	"burdocklane/previewer"
	"burdocklane/registrar"
)

// whereMessage is the JSON that an instance responds with at WherePath.
type whereMessage struct {
	Instance    string           `json:"instance"`
	Revision    int64            `json:"revision"`
	Route       *whereRoute      `json:"route,omitempty"`
	Deciders    []whereDecider   `json:"decided-by,omitempty"`
	DecidesHere bool             `json:"decides-here"`
	Candidates  []whereCandidate `json:"candidates,omitempty"`
	Decision    whereDecision    `json:"decision"`
}

type whereRoute struct {
	Host      string       `json:"host,omitempty"`
	Paths     []string     `json:"paths"`
	Class     string       `json:"class"`
	Service   string       `json:"service"`
	Shares    []whereShare `json:"shares"`
	Tenant    string       `json:"tenant,omitempty"`
	Priority  int          `json:"priority"`
	Regions   []string     `json:"regions,omitempty"`
	Confined  bool         `json:"confined"`
	Limit     *whereLimit  `json:"limit,omitempty"`
	TargetMs  float64      `json:"target-ms"`
	TimeoutMs float64      `json:"timeout-ms"`
}

type whereShare struct {
	Service string  `json:"service"`
	Ratio   float64 `json:"ratio"`
}

type whereLimit struct {
	PerSecond float64  `json:"per-second"`
	Burst     float64  `json:"burst"`
	Left      *float64 `json:"left,omitempty"`
}

type whereDecider struct {
	Region   string `json:"region"`
	Instance string `json:"instance"`
	Silent   bool   `json:"silent,omitempty"`
}

type whereCandidate struct {
	Worker          string   `json:"worker"`
	Region          string   `json:"region"`
	Zone            string   `json:"availability-zone"`
	State           string   `json:"state"`
	Excluded        string   `json:"excluded,omitempty"`
	Standing        string   `json:"standing"`
	ScoreLow        int64    `json:"score-low"`
	ScoreHigh       int64    `json:"score-high"`
	ExpectedMs      float64  `json:"expected-ms"`
	InFlight        int32    `json:"in-flight"`
	Limit           int32    `json:"limit"`
	Running         int32    `json:"running"`
	Waiting         int32    `json:"waiting"`
	Slots           int32    `json:"slots"`
	Slowdown        float64  `json:"slowdown"`
	ReportAgeMs     *float64 `json:"report-age-ms,omitempty"`
	SentSinceReport int32    `json:"sent-since-report"`
	KnownInFlight   int32    `json:"known-in-flight"`
	Cold            bool     `json:"cold,omitempty"`
	Declines        float64  `json:"decline-share,omitempty"`
}

type whereDecision struct {
	Decision     string  `json:"decision"`
	Worker       string  `json:"worker,omitempty"`
	Reason       string  `json:"reason,omitempty"`
	Ahead        int     `json:"calls-ahead,omitempty"`
	UpToMs       float64 `json:"wait-up-to-ms,omitempty"`
	RetryAfterMs float64 `json:"retry-after-ms,omitempty"`
}

func newWhereMessage(self registrar.InstanceID, answer previewer.Answer) whereMessage {
	m := whereMessage{Instance: string(self)}
	switch a := answer.(type) {
	case previewer.Unmatched:
		m.Revision = int64(a.Revision())
		m.Decision = whereDecision{Decision: "refuse", Reason: a.Reason()}
	case previewer.Unauthorized:
		m.Revision, m.Route = int64(a.Revision()), newWhereRoute(a.Route)
		m.Decision = whereDecision{Decision: "refuse", Reason: string(a.Reason())}
	case previewer.Routed:
		m.Revision, m.Route = int64(a.Revision()), newWhereRoute(a.Route)
		m.DecidesHere = len(a.Deciders()) == 0 || a.Deciders()[0].Instance() == self
		for _, d := range a.Deciders() {
			m.Deciders = append(m.Deciders, whereDecider{Region: d.Region(), Instance: string(d.Instance()), Silent: d.IsSilent()})
		}
		for _, c := range a.Preview().Candidates() {
			m.Candidates = append(m.Candidates, newWhereCandidate(c))
		}
		m.Decision = newWhereDecision(a.Preview().Outlook())
	}
	return m
}

func newWhereDecision(outlook limiter.Outlook) whereDecision {
	switch o := outlook.(type) {
	case limiter.WouldSend:
		return whereDecision{Decision: "send", Worker: string(o.Worker().ID())}
	case limiter.WouldWait:
		return whereDecision{Decision: "wait", Reason: "no-capacity", Ahead: o.Ahead(), UpToMs: milliseconds(o.UpTo())}
	case limiter.Refused:
		return whereDecision{Decision: "refuse", Reason: string(o.Reason()), RetryAfterMs: milliseconds(o.RetryAfter())}
	}
	return whereDecision{}
}

func newWhereRoute(r previewer.Route) *whereRoute {
	call := r.Call()
	class := call.Class()
	m := &whereRoute{
		Host: r.Host(), Paths: class.Paths(), Class: string(class.Name()), Service: string(call.Service().Name()),
		Priority: call.Priority(), Regions: call.Regions().Names(), Confined: call.Regions().IsRestricted(),
		TargetMs: milliseconds(class.Target().Latency()), TimeoutMs: milliseconds(call.Deadline().Sub(call.Arrival())),
	}
	for _, s := range r.Shares() {
		m.Shares = append(m.Shares, whereShare{Service: string(s.Service()), Ratio: s.Ratio()})
	}
	tenant := call.Tenant()
	if tenant == nil {
		return m
	}
	m.Tenant = string(tenant.Name())
	if limit := tenant.RateLimit(); limit.IsLimited() {
		m.Limit = &whereLimit{PerSecond: limit.PerSecond(), Burst: limit.Burst()}
		if left, ok := r.LimitLeft(); ok {
			m.Limit.Left = &left
		}
	}
	return m
}

func newWhereCandidate(c limiter.PreviewedCandidate) whereCandidate {
	w, load := c.Worker(), c.Load()
	low, high := c.Ranked().Bounds()
	m := whereCandidate{
		Worker: string(w.ID()), Region: w.Locality().Region(), Zone: w.Locality().Zone(),
		State: c.Candidate().State().String(), Excluded: string(c.Exclusion()), Standing: c.Ranked().Standing().String(),
		ScoreLow: low, ScoreHigh: high, ExpectedMs: milliseconds(time.Duration(c.Candidate().Latency())),
		InFlight: c.Candidate().InFlight(), Limit: c.Candidate().Limit(),
		Running: load.Running(), Waiting: load.Waiting(), Slots: load.Slots(), Slowdown: load.Slowdown(),
		SentSinceReport: load.SentSinceReport(), KnownInFlight: load.KnownInFlight(), Cold: load.IsCold(), Declines: w.DeclineRate(),
	}
	if age, ok := load.Age(); ok {
		ageMs := milliseconds(age)
		m.ReportAgeMs = &ageMs
	}
	return m
}
