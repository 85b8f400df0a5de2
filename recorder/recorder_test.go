package recorder_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"burdocklane/recorder"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// blocked is a log that does not take a line until it is opened.
type blocked struct {
	mutex sync.Mutex
	lines bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.lines.Write(p)
}

func TestAStuckLogHoldsNoCallUpAndDroppedLinesAreCounted(t *testing.T) {
	c := qt.New(t)
	log := &blocked{}
	log.mutex.Lock()
	r := recorder.New(zerolog.New(log), recorder.WithBuffer(10))
	const decisions = 100
	for range decisions {
		r.Record(recorder.NewDecision("id", time.Now(), "send", "free-slot"))
	}
	c.Assert(r.Dropped() >= decisions-11, qt.IsTrue)
	c.Assert(r.Explain("id"), qt.HasLen, decisions)
	log.mutex.Unlock()
	r.Close()
	c.Assert(r.Written()+r.Dropped(), qt.Equals, int64(decisions))
	c.Assert(strings.Count(log.lines.String(), `"message":"decision"`), qt.Equals, int(r.Written()))
	c.Assert(log.lines.String(), qt.Contains, "decision lines dropped")
}
