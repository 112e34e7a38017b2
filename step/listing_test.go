package step

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/listing"
)

func TestDueResults(t *testing.T) {
	// Symptom: a step whose groups are all whole ends half a second late.
	// Sequence: its last but one result is listed and read; the last one follows
	// before the trainer reads again.
	// Cause: each result was listed on its own, up to the last moment.
	const second = time.Second
	for _, tc := range []struct {
		name     string
		target   int           // of three groups
		whole    int           // groups that are whole, the first ones
		again    int           // groups that were asked for before, the last ones
		since    time.Duration // the oldest result's age
		listedAt time.Duration // of the last write, after the step's start
		due      bool
	}{
		{"nothing is whole", 3, 0, 0, 0, 0, false},
		{"the first ones wait for others", 3, 1, 0, 75 * time.Millisecond, 0, false},
		{"the first ones have waited", 3, 1, 0, 150 * time.Millisecond, 0, true},
		{"too soon after the last write", 3, 1, 0, second, 9 * second, false},
		{"long after the last write", 3, 1, 0, second, 8 * second, true},
		{"the trainer waits for no more", 2, 2, 0, 0, 10 * second, true},
		{"a group comes again and is missing", 2, 2, 1, 0, 10 * second, false},
		{"all are whole", 3, 3, 1, 0, 10 * second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := begin.Add(10 * second)
			sr := &stepRow{groups: map[string]*groupRow{}, step: &Step{Groups: tc.target}, listedAt: begin.Add(tc.listedAt)}
			if tc.listedAt == 0 {
				sr.listedAt = time.Time{}
			}
			for i := range 3 {
				gr := &groupRow{again: i >= 3-tc.again, left: 1}
				ir := &itemRow{item: &Item{Group: fmt.Sprint(i)}, state: running}
				if i < tc.whole {
					gr.left, ir.state, ir.doneAt = 0, complete, now.Add(-tc.since)
				}
				sr.groups[fmt.Sprint(i)] = gr
				sr.items = append(sr.items, ir)
			}
			assert.Equal(t, listing.Decide(sr.listState(now), now) != listing.Wait, tc.due)
		})
	}
}
