package step

import (
	"slices"
	"time"

	"wisteriacroft/keyvalue"
	"wisteriacroft/listing"
)

// Update returns what is to be written now, as far as one transaction holds it:
// results first.
//
// An update is repeated as it is until its outcome is known. One that the service
// will never take would be repeated for good, and nothing would be listed any
// more: the results of some steps, their checkpoints and old keys are too many entries.
func (ta *Table) Update(now time.Time) WriteSet {
	room := keyvalue.MaxTransaction - fenceEntries - accountEntries
	up := WriteSet{Chunks: ta.Due(now)}
	room -= (entriesEach + markEntries) * len(up.Chunks)
	if !ta.final(up.Chunks) {
		cps := ta.Checkpoints(now)
		up.Checkpoints = cps[:min(len(cps), room/entriesEach)]
		room -= entriesEach * len(up.Checkpoints)
	}
	if up.empty() {
		return up
	}
	up.Account = ta.usage.dueAccount(now)
	garbage := ta.Garbage()
	up.Deletes = garbage[:min(len(garbage), room)]
	room -= len(up.Deletes)
	for _, st := range ta.endedSteps {
		if room -= max(st.Parts, 1); room < 0 {
			break
		}
		up.Cuts = append(up.Cuts, st)
	}
	return up
}

// final reports whether chunks hold results with which a trainer waits for no more.
//
// Load pattern: at the end of an outage steps have results to list, and others some seconds of
// text to keep. In one write, a trainer would wait for megabytes of text that no one reads;
// they go with the next one.
func (ta *Table) final(chunks []Chunk) bool {
	return slices.ContainsFunc(chunks, func(ch Chunk) bool {
		sr, ok := ta.steps[ch.Step]
		return ok && sr.listingReason == listing.Final
	})
}

// What an update takes of a transaction.
const (
	fenceEntries   = 1 // the expectation that the lease is held
	accountEntries = 2 // what customers have had, and the expectation of what that replaces
	markEntries    = 1 // of a chunk, beside it
	entriesEach    = 2 // of a chunk or a checkpoint: a value, and the expectation that there is none
)

// Written takes in that an update is applied.
func (ta *Table) Written(up WriteSet, now time.Time) {
	ta.Listed(up.Chunks, now)
	ta.CheckpointsSaved(up.Checkpoints)
	ta.usage.accountWritten(up.Account, now)
	ta.Removed(len(up.Deletes))
	ta.endedSteps = slices.DeleteFunc(ta.endedSteps, func(st *Step) bool { return slices.Contains(up.Cuts, st) })
}

func (up WriteSet) empty() bool {
	return len(up.Chunks) == 0 && len(up.Checkpoints) == 0 && len(up.Deletes) == 0
}
