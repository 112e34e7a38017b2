package step

import (
	"slices"
	"time"
)

// Bounds of listing results.
const (
	// groupWait is how long a whole group waits for others, so that one write
	// lists several. Trainers read about twice a second.
	groupWait = 150 * time.Millisecond
	// holdEvents and holdTime say when results wait for an item that is about to
	// end: it has so few events left to its bound, some 300 ms, and they wait no
	// longer. After each answer a trainer comes again half a second later; what
	// is listed just before the last result makes it miss that one. By the replay
	// a step takes 7.67 s instead of 7.72 s on engines of one pace, and 7.81 s
	// instead of 7.93 s while two of them are silent.
	holdEvents = 8
	holdTime   = 400 * time.Millisecond
	// itemWait is how long a result of a group that isn't whole waits.
	itemWait = 1200 * time.Millisecond
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

// holds reports whether an item of the step is about to end.
func (sr *stepRow) holds() bool {
	return slices.ContainsFunc(sr.items, func(ir *itemRow) bool {
		bound := (ir.item.Tokens - ir.item.Prompt) / sr.gauge.eventTokens()
		return ir.state == running && bound > 0 && bound-len(ir.events) <= holdEvents
	})
}

// due reports whether a step has results that have waited long enough.
func (sr *stepRow) due(now time.Time) bool {
	hold := sr.holds()
	whole, left := 0, 0
	for _, gr := range sr.groups {
		if gr.left == 0 {
			whole++
		} else {
			left++
		}
	}
	for _, ir := range sr.items {
		if ir.listed || ir.state != complete && ir.state != lost {
			continue
		}
		gr := sr.groups[ir.item.Group]
		switch {
		case hold && now.Sub(ir.doneAt) < holdTime:
		case gr.left == 0 && whole >= sr.step.Groups:
			return true // the trainer waits for no more than these
		case gr.left == 0 && now.Sub(gr.doneAt) >= groupWait:
			return true
		case now.Sub(ir.doneAt) >= itemWait, left == 0:
			return true
		}
	}
	return false
}

// chunk returns a step's results that are not listed yet.
func (sr *stepRow) chunk() Chunk {
	ch := Chunk{Number: sr.chunks, Step: sr.step.ID}
	size := 0
	for _, ir := range sr.items {
		if ir.listed || ir.state != complete && ir.state != lost {
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
