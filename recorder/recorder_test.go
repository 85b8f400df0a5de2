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

// blockedLog is a log whose writes block while its mutex is held.
type blockedLog struct {
	mutex sync.Mutex
	lines bytes.Buffer
}

func (b *blockedLog) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.lines.Write(p)
}

// A blocked log must not block calls: Record returns at once, and the lines that do not
// fit into the buffer are dropped and counted.
func TestBlockedLogDropsAndCountsLines(t *testing.T) {
	c := qt.New(t)
	log := &blockedLog{}
	log.mutex.Lock()
	r := recorder.New(zerolog.New(log), recorder.WithBufferSize(10))
	const decisions = 100
	for range decisions {
		r.Record(recorder.NewDecision("id", time.Now(), "send", "free-slot"))
	}
	c.Assert(r.Dropped() >= decisions-11, qt.IsTrue)
	c.Assert(r.DecisionsFor("id"), qt.HasLen, decisions)
	log.mutex.Unlock()
	r.Close()
	c.Assert(r.Written()+r.Dropped(), qt.Equals, int64(decisions))
	c.Assert(strings.Count(log.lines.String(), `"message":"decision"`), qt.Equals, int(r.Written()))
	c.Assert(log.lines.String(), qt.Contains, "decision lines dropped")
}
