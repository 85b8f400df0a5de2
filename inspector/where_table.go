package inspector

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
)

// WriteWhereTable prints the JSON of FetchWhere for people.
func WriteWhereTable(out io.Writer, data []byte) error {
	var m whereMessage
	if err := json.Unmarshal(data, &m); err != nil {
		return errors.Wrap(err, "admin port")
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "instance\t%s\nrevision\t%d\n", m.Instance, m.Revision)
	if m.Route != nil {
		m.Route.write(table)
	}
	if len(m.Deciders) > 0 {
		fmt.Fprintf(table, "decided by\t%s\n", m.decidersText())
	}
	fmt.Fprintf(table, "decision\t%s\n", m.Decision.text())
	if len(m.Candidates) > 0 {
		fmt.Fprintln(table, "\nworker\tregion\tzone\tstate\tstanding\texpected\tscore\tin flight\trunning\twaiting\tslots\tslowdown\tsince\tseen\treport age")
	}
	for _, c := range m.Candidates {
		c.write(table)
	}
	return table.Flush()
}

func (r *whereRoute) write(out io.Writer) {
	host, regions, shares := r.Host, "all", make([]string, 0, len(r.Shares))
	if host == "" {
		host = "any host"
	}
	if r.Confined {
		regions = "none"
	}
	if len(r.Regions) > 0 {
		regions = strings.Join(r.Regions, ", ")
	}
	for _, s := range r.Shares {
		shares = append(shares, fmt.Sprintf("%s %.0f%%", s.Service, 100*s.Ratio))
	}
	fmt.Fprintf(out, "route\t%s, paths %s\nclass\t%s\nservice\t%s (of %s)\n", host, strings.Join(r.Paths, " "), r.Class, r.Service, strings.Join(shares, ", "))
	if r.Tenant != "" {
		fmt.Fprintf(out, "tenant\t%s\n", r.Tenant)
	}
	fmt.Fprintf(out, "priority\t%d\nregions\t%s\n", r.Priority, regions)
	if r.Limit != nil {
		left := "unknown"
		if r.Limit.Left != nil {
			left = strconv.FormatFloat(*r.Limit.Left, 'f', 1, 64)
		}
		fmt.Fprintf(out, "rate limit\t%g/s, burst %g, left %s\n", r.Limit.PerSecond, r.Limit.Burst, left)
	}
	fmt.Fprintf(out, "target\t%gms\ntimeout\t%gms\n", r.TargetMs, r.TimeoutMs)
}

func (m *whereMessage) decidersText() string {
	texts := make([]string, 0, len(m.Deciders))
	for _, d := range m.Deciders {
		text := d.Instance + " for region " + d.Region
		if d.Silent {
			text += " (silent now)"
		}
		texts = append(texts, text)
	}
	here := "; not this instance: the workers are as it sees them"
	if m.DecidesHere {
		here = "; this instance"
	}
	return strings.Join(texts, ", then ") + here
}

func (d whereDecision) text() string {
	switch {
	case d.Worker != "":
		return "send to " + d.Worker
	case d.UpToMs > 0:
		return fmt.Sprintf("wait up to %gms (%s, %d ahead)", d.UpToMs, d.Reason, d.Ahead)
	case d.RetryAfterMs > 0:
		return fmt.Sprintf("%s: %s; come back in %gms", d.Decision, d.Reason, d.RetryAfterMs)
	}
	return d.Decision + ": " + d.Reason
}

func (c whereCandidate) write(out io.Writer) {
	state, age, slowdown := c.State, "none", strconv.FormatFloat(c.Slowdown, 'f', 2, 64)
	if c.Excluded != "" {
		state += " (" + c.Excluded + ")"
	}
	if c.Cold {
		state += " cold"
	}
	if c.ReportAgeMs != nil {
		age = fmt.Sprintf("%gms", *c.ReportAgeMs)
	}
	fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%gms\t%s\t%d/%d\t%d\t%d\t%d\t%s\t%d\t%d\t%s\n", c.Worker, c.Region, c.Zone, state, c.Standing,
		c.ExpectedMs, c.scoreText(), c.InFlight, c.Limit, c.Running, c.Waiting, c.Slots, slowdown, c.SentSinceReport, c.KnownInFlight, age)
}

// scoreText prints a score of a policy that orders by calls or turns as a number, and one
// that orders by latency as time.
func (c whereCandidate) scoreText() string {
	if c.ScoreHigh < int64(time.Microsecond) {
		return strconv.FormatInt(c.ScoreLow, 10)
	}
	low, high := time.Duration(c.ScoreLow).Round(time.Microsecond), time.Duration(c.ScoreHigh).Round(time.Microsecond)
	if low == high {
		return low.String()
	}
	return low.String() + ".." + high.String()
}
