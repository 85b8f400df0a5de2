package shedder_test

import (
	"sync"
	"testing"
	"time"

	"burdocklane/shedder"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// machine is a shedder with a clock of its own, and the holdings that it ended.
type machine struct {
	*shedder.Shedder
	now   time.Time
	ended []string
}

func newMachine(limits shedder.Limits) *machine {
	m := &machine{now: time.Unix(1_000_000, 0)}
	m.Shedder = shedder.New(limits, shedder.WithClock(func() time.Time { return m.now }))
	return m
}

func (m *machine) open(name string) *shedder.Holding {
	h, ok := m.Open(func() { m.ended = append(m.ended, name) })
	if !ok {
		return nil
	}
	return h
}

// Guards against a crowd that takes the room of ordinary callers: each row fills the
// limits in another way, and an ordinary request comes last.
func TestOrdinaryCallersFindRoom(t *testing.T) {
	const bodyBytes = 64 << 10
	limits := shedder.NewLimits(4<<20, 0, 200)
	tests := []struct {
		name  string
		crowd func(m *machine)
	}{
		{"connections that send nothing", func(m *machine) {
			for range 1000 {
				m.open("hostile")
			}
		}},
		{"bodies that stop short", func(m *machine) {
			for range 1000 {
				if h := m.open("hostile"); h != nil {
					h.Grow(bodyBytes)
				}
			}
		}},
		{"streamed bodies whose calls are in flight", func(m *machine) {
			for range 1000 {
				if h := m.open("hostile"); h != nil {
					h.BeginCall(true)
				}
			}
		}},
		{"answers that are not read", func(m *machine) {
			for range 1000 {
				if h := m.open("hostile"); h != nil && h.BeginCall(false) {
					h.GrowAlways(bodyBytes)
					h.BeginAnswer(false, m.now)
				}
			}
		}},
		{"heads that grow slowly", func(m *machine) {
			for range 1000 {
				h := m.open("hostile")
				for range 100 {
					if h != nil && h.Grow(1<<10) {
						h.Progress(1, m.now)
					}
				}
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m := newMachine(limits)
			test.crowd(m)
			m.now = m.now.Add(time.Second)
			ordinary := m.open("ordinary")
			c.Assert(ordinary, qt.IsNotNil)
			c.Assert(ordinary.BeginCall(false), qt.IsTrue)
			c.Assert(m.Held() <= limits.Bytes(), qt.IsTrue, qt.Commentf("%d bytes are held", m.Held()))
			c.Assert(m.Sockets() <= limits.Sockets(), qt.IsTrue, qt.Commentf("%d sockets are held", m.Sockets()))
			c.Assert(m.ended, qt.Not(qt.Contains), "ordinary")
		})
	}
}

// Guards against a call in flight that is ended: a worker may have run it. A request that
// was ended before is not dispatched.
func TestCallsInFlightAreNotEnded(t *testing.T) {
	c := qt.New(t)
	m := newMachine(shedder.NewLimits(0, 2, 0))
	calling, waiting := m.open("calling"), m.open("waiting")
	c.Assert(calling.BeginCall(false), qt.IsTrue)
	m.now = m.now.Add(time.Minute)
	third := m.open("third")
	c.Assert(third, qt.IsNotNil)
	c.Assert(m.ended, qt.DeepEquals, []string{"waiting"})
	c.Assert(waiting.BeginCall(false), qt.IsFalse)
	calling.BeginAnswer(false, m.now)
	calling.EndCall()
	m.now = m.now.Add(time.Minute)
	third.Begin(m.now)
	c.Assert(m.open("fourth"), qt.IsNotNil)
	c.Assert(m.ended[1:], qt.DeepEquals, []string{"calling"})
}

// Guards against a single request inside the limits that is refused in calm.
func TestOneRequestIsServedInCalm(t *testing.T) {
	tests := []struct {
		name   string
		limits shedder.Limits
	}{
		{"the smallest machine", shedder.CallerLimits(184<<20, 0, 3900)},
		{"the machine of the tests", shedder.CallerLimits(56<<20, 0, 300)},
		{"no limits", shedder.CallerLimits(0, 0, 0)},
	}
	const (
		headBytes = 16 << 10
		fields    = headBytes / 4
		bodyBytes = 64 << 10
	)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m := newMachine(test.limits)
			h := m.open("caller")
			c.Assert(h, qt.IsNotNil)
			c.Assert(h.Grow(2*headBytes+fields*shedder.FieldBytes), qt.IsTrue)
			c.Assert(h.Grow(bodyBytes), qt.IsTrue)
			c.Assert(h.BeginCall(true), qt.IsTrue)
			c.Assert(m.ended, qt.HasLen, 0)
		})
	}
}

// Guards against a transfer at an ordinary speed that ages, and one by single bytes that
// does not.
func TestSlowTransfersAgeAndOthersDoNot(t *testing.T) {
	tests := []struct {
		name           string
		bytesPerSecond int
		want           string
	}{
		{"a transfer at the least speed", 16 << 10, "idle"},
		{"a transfer by single bytes", 20, "transfer"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m := newMachine(shedder.NewLimits(0, 2, 0))
			transfer := m.open("transfer")
			c.Assert(transfer.Grow(64<<10), qt.IsTrue)
			for n := range 10 {
				if n == 9 {
					m.open("idle")
				}
				m.now = m.now.Add(time.Second)
				transfer.Progress(test.bytesPerSecond, m.now)
			}
			c.Assert(m.open("third"), qt.IsNotNil)
			c.Assert(m.ended, qt.DeepEquals, []string{test.want})
		})
	}
}

// Guards against room that is given back twice or never, whatever the order of the steps.
func TestAllIsGivenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(shedder.NewLimits(1<<20, 20, 40))
		var open []*shedder.Holding
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 200).Draw(t, "steps")
		for i, step := range steps {
			m.now = m.now.Add(time.Millisecond)
			if step == 0 || len(open) == 0 {
				if h := m.open("holding"); h != nil {
					open = append(open, h)
				}
				continue
			}
			h := open[i%len(open)]
			switch step {
			case 1:
				if h.Grow(30 << 10) {
					h.Shrink(10 << 10)
				}
			case 2:
				h.GrowAlways(50 << 10)
			case 3:
				if h.BeginCall(i%2 == 0) {
					h.BeginAnswer(i%2 == 0, m.now)
					h.EndCall()
				}
			case 4:
				h.Close()
			case 5:
				h.End()
			}
		}
		for _, h := range open {
			h.Close()
		}
		if m.Held() != 0 || m.Sockets() != 0 || m.Connections() != 0 {
			t.Fatalf("%d bytes, %d sockets and %d connections were not given back", m.Held(), m.Sockets(), m.Connections())
		}
	})
}

// Guards against counts that drift when holdings are ended while their owners use them.
func TestAllIsGivenBackByManyThreads(t *testing.T) {
	c := qt.New(t)
	s := shedder.New(shedder.NewLimits(1<<20, 0, 40))
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			for n := range 500 {
				h, ok := s.Open(func() {})
				if !ok {
					continue
				}
				if h.Grow(20<<10) && h.BeginCall(n%2 == 0) {
					h.GrowAlways(32 << 10)
					h.BeginAnswer(n%2 == 0, time.Now())
					h.EndCall()
				}
				h.Close()
			}
		})
	}
	callers.Wait()
	s.Close()
	c.Assert(s.Held(), qt.Equals, int64(0))
	c.Assert(s.Sockets(), qt.Equals, int64(0))
	c.Assert(s.Connections(), qt.Equals, int64(0))
}

// Guards against more connections that are ended than the limit that was reached asks for,
// as another one is higher.
func TestConnectionsAreEndedByTheLimitThatIsReached(t *testing.T) {
	const limit = 160
	tests := []struct {
		name   string
		limits shedder.Limits
	}{
		{"connections", shedder.NewLimits(0, limit, 0)},
		{"sockets", shedder.NewLimits(0, 0, limit)},
		{"sockets, with a higher limit of connections", shedder.NewLimits(0, 10*limit, limit)},
		{"connections, with a higher limit of sockets", shedder.NewLimits(0, limit, 10*limit)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m := newMachine(test.limits)
			for range limit + 1 {
				c.Assert(m.open("idle"), qt.IsNotNil)
			}
			c.Assert(m.Connections(), qt.Equals, int64(limit*15/16))
		})
	}
}

// Guards against an answer that is cut before idle connections are, as its worker is slow
// to go on. The time that the caller takes to read counts as before.
func TestAnswersThatWaitForWorkersDoNotAge(t *testing.T) {
	const limit = 4
	tests := []struct {
		name    string
		waited  time.Duration // For the worker.
		reading time.Duration // By the caller, after that.
		isOver  bool          // The worker goes on.
		ended   string
	}{
		{"the worker is still waited for", time.Minute, 0, false, "idle"},
		{"the worker has gone on", time.Minute, 0, true, "idle"},
		{"the caller does not read", 0, time.Minute, true, "answer"},
		{"the caller does not read after the worker went on", time.Minute, time.Minute, true, "answer"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m := newMachine(shedder.NewLimits(0, limit, 0))
			answer := m.open("answer")
			c.Assert(answer.BeginCall(false), qt.IsTrue)
			answer.BeginAnswer(false, m.now)
			answer.GrowAlways(32 << 10)
			for range limit - 1 {
				m.open("idle")
			}
			answer.BeginWait(m.now)
			m.now = m.now.Add(test.waited)
			if test.isOver {
				answer.EndWait(m.now)
			}
			m.now = m.now.Add(test.reading)
			m.open("late")
			c.Assert(m.ended, qt.DeepEquals, []string{test.ended})
		})
	}
}
