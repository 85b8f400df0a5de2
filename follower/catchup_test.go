package follower_test

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"burdocklane/follower"
	"burdocklane/storer"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// Guards against a late change whose log does not tell which sources took the time.
func TestLateRevisionIsExplained(t *testing.T) {
	tests := []struct {
		name    string
		refused bool // The relay refuses the read that follows the stalled watch.
		known   int64
		want    []string
	}{
		{"the next read of the relay delivers it", false, 200, []string{"relay a: read after 0 ms"}},
		{"the relay refuses", true, 200, []string{"relay a: status-503 after 300 ms", "store: read after 0 ms"}},
		{"no later revision", false, 100, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				reads := 0
				relay := storer.NewRemote(storer.WithName("relay a"),
					storer.WithRange(func(context.Context, string) (storer.RangeResult, error) {
						reads++
						if reads > 1 && test.refused {
							time.Sleep(300 * time.Millisecond)
							return storer.RangeResult{}, storer.NewStatusError("relay", 503, "")
						}
						return storer.NewRangeResult(nil, revision(int64(reads)*100)), nil
					}),
					storer.WithPoll(func(ctx context.Context, _ string, _ storer.Revision) (storer.Batch, error) {
						return storer.Batch{}, blockUntilDone(ctx)
					}, 0))
				s := &scriptedStore{poll: func(ctx context.Context, _ int64) (storer.Batch, error) { return storer.Batch{}, blockUntilDone(ctx) }}
				s.reads.Store(1)
				failures := 0
				available := func() []storer.Store { return []storer.Store{relay}[min(failures/2, 1):] }
				var log bytes.Buffer
				f := follower.New(s.store(), "", func([]storer.Pair, storer.RangeResult) {}, zerolog.New(&log),
					follower.WithRelays(follower.NewRelays(func() bool { return true }, available, func(storer.Store) { failures++ }, 900*time.Millisecond)))
				f.Start()
				synctest.Wait()
				f.NotifyRevision(revision(test.known))
				time.Sleep(5 * time.Second)
				f.Close()
				c.Assert(loggedReads(c, log.Bytes()), qt.DeepEquals, test.want)
			})
		})
	}
}

// loggedReads returns the reads that the line on a late revision names.
func loggedReads(c *qt.C, log []byte) []string {
	for line := range bytes.Lines(log) {
		var fields struct {
			Message string   `json:"message"`
			Reads   []string `json:"reads"`
		}
		c.Assert(json.Unmarshal(line, &fields), qt.IsNil)
		if fields.Message == "keys were behind the revision that peers know" {
			return fields.Reads
		}
	}
	return nil
}
