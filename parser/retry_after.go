package parser

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxRetryAfter bounds the time of a Retry-After header. A worker that is to stay without
// calls for longer leaves the platform's list.
const MaxRetryAfter = 30 * time.Second

// ParseRetryAfter parses the value of a Retry-After header, which is a number of seconds,
// also a fraction, or a date (RFC 9110, section 10.2.3). It returns false if the value
// cannot be read, which counts as not sent.
func ParseRetryAfter(text string, now time.Time) (time.Duration, bool) {
	text = strings.TrimSpace(text)
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if math.IsNaN(seconds) || seconds < 0 {
			return 0, false
		}
		return time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second)), true
	}
	date, err := http.ParseTime(text)
	if err != nil {
		return 0, false
	}
	return min(max(date.Sub(now), 0), MaxRetryAfter), true
}
