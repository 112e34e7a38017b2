package step

import (
	"slices"
	"time"
)

// Bounds of listing results.
const (
	// listWait is how long a result waits for others before a write lists them.
	listWait = 150 * time.Millisecond
	// listEvery is the least time between two writes for a step whose trainer
	// still waits for others. A trainer looks at what it has read twice a second,
	// and misses results that come between an answer and its next look: what is
	// listed just before the last result costs it half a second. By the replay of
	// 24 seeds, four trainers get 0.773 of their groups in time and not 0.713,
	// with slow engines 0.740 and not 0.658; a step takes 0.1 s less.
	listEvery = 2 * time.Second
	// maxChunks bounds the steps of one write: each takes an expectation and a
	// value of a transaction, which has 32 at most.
	maxChunks = 8
)

// Due returns the results that are to be listed now, a chunk for each step.
func (ta *Table) Due(now time.Time) []Chunk {
	var chunks []Chunk
	for _, sr := range ta.order {
		if len(chunks) < maxChunks && sr.due(now) {
			chunks = append(chunks, sr.chunk())
		}
	}
	return chunks
}

// due reports whether a step has results that are to be listed now: at once if
// the trainer waits for no more than these, else with others.
func (sr *stepRow) due(now time.Time) bool {
	left := false
	var oldest time.Time // of the results that are not listed
	for _, ir := range sr.items {
		switch {
		case ir.listed:
		case ir.open():
			left = true
		case oldest.IsZero() || ir.doneAt.Before(oldest):
			oldest = ir.doneAt
		}
	}
	if oldest.IsZero() {
		return false
	}
	return !left || sr.sated() || now.Sub(oldest) >= listWait && now.Sub(sr.listedAt) >= listEvery
}

// sated reports whether the groups that the trainer waits for are whole: as many
// as it asked for, and all that it asked for before.
func (sr *stepRow) sated() bool {
	whole := 0
	for _, gr := range sr.groups {
		if gr.left == 0 {
			whole++
		} else if gr.again {
			return false
		}
	}
	return whole >= sr.step.Groups
}

// chunk returns a step's results that are not listed yet.
func (sr *stepRow) chunk() Chunk {
	ch := Chunk{Number: sr.chunks, Step: sr.step.ID}
	size := 0
	for _, ir := range sr.items {
		if ir.listed || ir.open() {
			continue
		}
		re := ir.result()
		if size += len(re.Text); size > partSize && len(ch.Results) > 0 {
			break
		}
		ch.Results = append(ch.Results, re)
	}
	return ch
}

// result returns what is listed of an item.
func (ir *itemRow) result() Result {
	re := Result{Item: ir.item.ID, Lost: ir.state == lost}
	if re.Lost {
		return re
	}
	re.Score = ir.reward.score
	for i, ev := range ir.events {
		if i > 0 {
			re.Text = append(re.Text, '\n')
		}
		re.Text = append(re.Text, ev.Data...)
		if !slices.Contains(re.Versions, ev.Version) {
			re.Versions = append(re.Versions, ev.Version)
		}
	}
	return re
}

// Listed takes in that chunks are listed.
func (ta *Table) Listed(chunks []Chunk, now time.Time) {
	for _, ch := range chunks {
		sr, ok := ta.steps[ch.Step]
		if !ok {
			continue
		}
		sr.results = append(sr.results, ch.Results...)
		sr.chunks = ch.Number + 1
		sr.counts = append(sr.counts, len(ch.Results))
		sr.listedAt = now
		positions := map[string]bool{}
		for _, re := range ch.Results {
			positions[re.Item] = true
		}
		all := true
		for _, ir := range sr.items {
			if positions[ir.item.ID] {
				ir.listed = true
				ta.letGo(ir)
			}
			if ir.listed && sr.groups[ir.item.Group].left == 0 {
				ir.events = nil // the text stands in the results
			}
			all = all && ir.listed
		}
		sr.idle = sr.idle || all
		sr.wake()
		ta.log("results listed", map[string]any{
			"chunk": ch.Number, "listed": len(sr.results), stepField: ch.Step, "total": len(sr.step.Items),
		})
	}
}
