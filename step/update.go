package step

import (
	"slices"
	"time"

	"wisteriacroft/keyvalue"
	"wisteriacroft/listing"
)

// NextWrites returns what to write now, as far as it fits into one transaction. Results take precedence.
//
// A scheduler repeats a write set unchanged until its outcome is known. One that exceeds the limit of a transaction
// would be repeated forever and block all listing.
func (ta *Table) NextWrites(now time.Time) WriteSet {
	free := keyvalue.MaxTransaction - fenceEntries - accountEntries
	ws := WriteSet{Chunks: ta.DueChunks(now)}
	free -= (valueEntries + manifestEntries) * len(ws.Chunks)
	if !ta.hasFinal(ws.Chunks) {
		cps := ta.Checkpoints(now)
		ws.Checkpoints = cps[:min(len(cps), free/valueEntries)]
		free -= valueEntries * len(ws.Checkpoints)
	}
	if ws.empty() {
		return ws
	}
	ws.Account = ta.usage.dueAccount(now)
	obsolete := ta.ObsoleteKeys()
	ws.Deletes = obsolete[:min(len(obsolete), free)]
	free -= len(ws.Deletes)
	for _, st := range ta.endedSteps {
		if free -= max(st.Parts, 1); free < 0 {
			break
		}
		ws.Cuts = append(ws.Cuts, st)
	}
	return ws
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
	fenceEntries    = 1 // expectation of the lease
	accountEntries  = 2 // value, and expectation of the previous one
	manifestEntries = 1 // manifest of a chunk
	valueEntries    = 2 // value of a chunk or checkpoint, and expectation that there is none
)

// WritesApplied records that a write set has been applied.
func (ta *Table) WritesApplied(ws WriteSet, now time.Time) {
	ta.ChunksListed(ws.Chunks, now)
	ta.CheckpointsSaved(ws.Checkpoints)
	ta.usage.accountWritten(ws.Account, now)
	ta.KeysDeleted(len(ws.Deletes))
	ta.endedSteps = slices.DeleteFunc(ta.endedSteps, func(st *Step) bool { return slices.Contains(ws.Cuts, st) })
}

func (ws WriteSet) empty() bool {
	return len(ws.Chunks) == 0 && len(ws.Checkpoints) == 0 && len(ws.Deletes) == 0
}
