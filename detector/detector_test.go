package detector_test

import (
	"testing"
	"time"

	"burdocklane/detector"
	"burdocklane/registrar"

	qt "github.com/frankban/quicktest"
)

const peer registrar.InstanceID = "b"

func listed() []registrar.Instance {
	at := registrar.NewLocality("r", "r-a")
	return []registrar.Instance{
		registrar.NewInstance("a", "", "", at, false),
		registrar.NewInstance(peer, "", "", at, false),
	}
}

func TestStates(t *testing.T) {
	type step func(d *detector.Detector)
	heard := func(incarnation uint64, leaving bool, at time.Duration) step {
		return func(d *detector.Detector) { d.RecordMessage(peer, incarnation, leaving, at) }
	}
	missed := func(at time.Duration) step { return func(d *detector.Detector) { d.RecordProbeFailure(peer, at) } }
	expire := func(at time.Duration) step { return func(d *detector.Detector) { d.ExpireSuspects(at) } }
	update := func(s detector.State, incarnation uint64) step {
		return func(d *detector.Detector) {
			d.ApplyUpdates([]detector.Update{detector.NewUpdate(peer, s, incarnation)}, 0)
		}
	}
	tests := []struct {
		name  string
		steps []step
		want  detector.State
		live  int
	}{
		{"listed", nil, detector.Alive, 2},
		{"a slow peer is suspect and keeps its slots", []step{missed(0), expire(2 * time.Second)}, detector.Suspect, 2},
		{"a peer that never answers is declared dead", []step{missed(0), expire(4 * time.Second)}, detector.Dead, 1},
		{"an answer ends the suspicion", []step{missed(0), heard(1, false, time.Second), expire(4 * time.Second)}, detector.Alive, 2},
		{"a dead peer that sends a message is alive", []step{missed(0), expire(4 * time.Second), heard(1, false, 5*time.Second)}, detector.Alive, 2},
		{"a refutation supersedes an older update", []step{heard(5, false, 0), update(detector.Dead, 4)}, detector.Alive, 2},
		{"an update for a later incarnation is applied", []step{heard(5, false, 0), update(detector.Dead, 6)}, detector.Dead, 1},
		{"a leaving peer stays leaving", []step{heard(1, true, 0), heard(1, false, time.Second)}, detector.Leaving, 2},
		{"a restarted peer is alive again", []step{heard(1, true, 0), heard(2, false, time.Second)}, detector.Alive, 2},
		{"a pause of our own process restarts the timeout", []step{missed(0), func(d *detector.Detector) { d.RestartSuspicionTimeouts(10 * time.Second) }, expire(11 * time.Second)}, detector.Suspect, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := detector.New("a", 1)
			d.SetMembers(listed(), 0)
			for _, s := range test.steps {
				s(d)
			}
			c.Assert(d.State(peer), qt.Equals, test.want)
			c.Assert(d.Filter(listed()), qt.HasLen, test.live)
		})
	}
}

func TestRefutesUpdateOfItsOwnDeath(t *testing.T) {
	c := qt.New(t)
	d := detector.New("a", 7)
	d.ApplyUpdates([]detector.Update{detector.NewUpdate("a", detector.Dead, 7)}, 0)
	c.Assert(d.Incarnation(), qt.Equals, uint64(8))
}

func TestUpdatesPerMessageDoNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []int{10, 1000} {
		c := qt.New(t)
		var instances []registrar.Instance
		for n := range size {
			instances = append(instances, registrar.NewInstance(registrar.InstanceID(rune('A'+n)), "", "", registrar.Locality{}, false))
		}
		d := detector.New("self", 1)
		d.SetMembers(instances, 0)
		for _, i := range instances {
			d.RecordProbeFailure(i.ID(), 0)
		}
		c.Assert(d.UpdatesFor("x"), qt.HasLen, 8)
	}
}
