package lister_test

import (
	"testing"

	"burdocklane/lister"
	"burdocklane/registrar"

	qt "github.com/frankban/quicktest"
)

func TestEncodedListDecodes(t *testing.T) {
	c := qt.New(t)
	locality := registrar.NewLocality("pwani", "pwani-a")
	list := registrar.NewList(7,
		[]registrar.Worker{registrar.NewWorker("w", "s", "10.0.0.1:80", locality, 6, true)},
		[]registrar.Instance{registrar.NewInstance("i", "10.0.0.2:1", "10.0.0.2:2", locality, false)})
	data, err := lister.Encode(list)
	c.Assert(err, qt.IsNil)
	decoded, err := lister.Decode(data)
	c.Assert(err, qt.IsNil)
	c.Assert(decoded.Version(), qt.Equals, int64(7))
	c.Assert(decoded.Workers()[0] == list.Workers()[0], qt.IsTrue)
	c.Assert(decoded.Instances()[0] == list.Instances()[0], qt.IsTrue)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"version": 1, "workers": [{"id": "w", "slots": -1}], "instances": [{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := lister.Decode(data)
		if err != nil {
			return
		}
		for _, w := range list.Workers() {
			if w.Slots() < 1 {
				t.Fatalf("%s has %d slots", w.ID(), w.Slots())
			}
		}
	})
}
