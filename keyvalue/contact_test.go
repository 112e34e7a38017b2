package keyvalue

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against taking the silence of one connection for an outage, and against missing one.
func TestOutages(t *testing.T) {
	type result struct {
		at       int // seconds from the start
		err      error
		canceled bool // by its caller
	}
	for _, tc := range []struct {
		name     string
		results  []result
		from, to int // seconds from the start to the outage and its end; 0 if there is none
	}{
		{"all fail", []result{{at: 1}, {at: 3, err: ErrUnavailable}, {at: 4, err: ErrOutcomeUnknown}, {at: 5}}, 1, 5},
		{"refusals that show that it serves", []result{{at: 1}, {at: 3, err: ErrUnavailable}, {at: 5, err: ErrConflict}}, 1, 5},
		{"from the start", []result{{at: 2, err: ErrUnavailable}, {at: 4, err: ErrUnavailable}, {at: 5}}, 2, 5},
		{"others are answered", []result{{at: 1}, {at: 2}, {at: 2, err: context.DeadlineExceeded}, {at: 3}}, 0, 0},
		{"idle", []result{{at: 1}, {at: 60}}, 0, 0},
		{"canceled", []result{{at: 1}, {at: 3, err: ErrUnavailable, canceled: true}, {at: 5}}, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				after := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
				var cl Client
				for _, re := range tc.results {
					ctx, cancel := context.WithCancel(t.Context())
					time.Sleep(time.Until(after(re.at)))
					if re.canceled {
						cancel()
					}
					cl.GetFunc = func(context.Context, string) (Item, error) { return Item{}, re.err }
					_, err := cl.Get(ctx, "key")
					assert.ErrorIs(t, err, re.err)
					cancel()
				}
				ou := cl.LastOutage()
				if tc.to == 0 {
					assert.Assert(t, ou.To.IsZero())
					return
				}
				assert.Equal(t, ou.From, after(tc.from))
				assert.Equal(t, ou.To, after(tc.to))
			})
		})
	}
}
