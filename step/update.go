package step

import (
	"slices"
	"time"

	"wisteriacroft/keyvalue"
	"wisteriacroft/listing"
)

// NextWrites returns what to write now, as far as it fits into one transaction. Results take precedence.
//
// A scheduler repeats a write set unchanged until its outcome is known. One that is larger than a transaction may be
// would be repeated forever and block all listing.
func (ta *Table) NextWrites(now time.Time) WriteSet {
	room := keyvalue.MaxTransaction - fenceEntries - accountEntries
	up := WriteSet{Chunks: ta.DueChunks(now)}
	room -= (valueEntries + markEntries) * len(up.Chunks)
	if !ta.hasFinal(up.Chunks) {
		cps := ta.Checkpoints(now)
		up.Checkpoints = cps[:min(len(cps), room/valueEntries)]
		room -= valueEntries * len(up.Checkpoints)
	}
	if up.empty() {
		return up
	}
	up.Account = ta.usage.dueAccount(now)
	garbage := ta.ObsoleteKeys()
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

// hasFinal reports whether any of the chunks completes what a trainer waits for.
//
// Checkpoints go into the next write then: at the end of an outage they may have megabytes of text, and would delay
// the trainer.
func (ta *Table) hasFinal(chunks []Chunk) bool {
	return slices.ContainsFunc(chunks, func(ch Chunk) bool {
		sr, ok := ta.steps[ch.Step]
		return ok && sr.listingReason == listing.Final
	})
}

// Numbers of entries in a transaction.
const (
	fenceEntries   = 1 // expectation of the lease
	accountEntries = 2 // value, and expectation of the previous one
	markEntries    = 1 // mark of a chunk
	valueEntries   = 2 // value of a chunk or checkpoint, and expectation that there is none
)

// WritesApplied records that a write set has been applied.
func (ta *Table) WritesApplied(up WriteSet, now time.Time) {
	ta.ChunksListed(up.Chunks, now)
	ta.CheckpointsSaved(up.Checkpoints)
	ta.usage.accountWritten(up.Account, now)
	ta.KeysDeleted(len(up.Deletes))
	ta.endedSteps = slices.DeleteFunc(ta.endedSteps, func(st *Step) bool { return slices.Contains(up.Cuts, st) })
}

func (up WriteSet) empty() bool {
	return len(up.Chunks) == 0 && len(up.Checkpoints) == 0 && len(up.Deletes) == 0
}
