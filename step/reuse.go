package step

import (
	"bytes"
	"slices"
	"time"

	"wisteriacroft/runner"
)

// An itemKey identifies an item across all steps of a customer. Items of other customers may have the same ID and
// must not share text.
type itemKey struct{ customer, item string }

func (st *Step) itemKey(it *Item) itemKey { return itemKey{customer: st.Customer, item: it.ID} }

func (ir *itemRow) key() itemKey { return ir.step.step.itemKey(ir.item) }

// reuseText sets an item's text to what an earlier step generated for it, if the body is the same and the step allows
// the versions.
func (ta *Table) reuseText(ir *itemRow, now time.Time) {
	old, ok := ta.reusableItems[ir.key()]
	if !ok || !bytes.Equal(old.item.Body, ir.item.Body) || !ir.step.step.allows(old.events) {
		return
	}
	ir.events = old.events
	if old.state != complete && old.state != scoring {
		return
	}
	if old.reward.score != "" && ir.item.Reward != nil && ir.item.Reward.Equal(old.item.Reward) {
		ir.reward.score = old.reward.score
	}
	ta.completeText(ir, now)
}

// A minLength is the minimum number of events of an item, from earlier runs.
type minLength struct {
	events int
	step   *stepRow // last step that had the item
}

// recordLength records the known length of an item when its step ends.
//
// A trainer ends a step based on what it has read, so groups that are complete but unread are requested again.
// Without a record, their longest items would seem as short as their hints.
func (ta *Table) recordLength(ir *itemRow) {
	if events := max(ir.knownEvents, len(ir.events)); events > 0 {
		ta.knownLengths[ir.key()] = minLength{events: events, step: ir.step}
	}
}

// DropOldSteps drops ended steps older than keep, and returns their IDs. It also drops expired text, lengths and
// results.
func (ta *Table) DropOldSteps(keep time.Duration, now time.Time) []string {
	var ids []string
	for id, sr := range ta.steps {
		if sr.ended && sr.age(now) > keep {
			delete(ta.steps, id)
			ids = append(ids, id)
			ta.endedSteps = slices.DeleteFunc(ta.endedSteps, func(st *Step) bool { return st.ID == id })
		}
	}
	for id, ir := range ta.reusableItems {
		if ir.step.age(now) > reuseRetention || ta.outdated(ir) {
			delete(ta.reusableItems, id)
		}
	}
	for id, ml := range ta.knownLengths {
		if ml.step.age(now) > reuseRetention {
			delete(ta.knownLengths, id)
		}
	}
	ta.forgetFormer(now)
	ta.evictResults()
	return ids
}

// outdated reports whether an item's text is too old for any later step.
//
// If most groups of many steps are late, their text is most of the scheduler's memory. Retaining all of it for
// reuseRetention would exhaust the memory, and garbage collection would delay the listing of results.
func (ta *Table) outdated(ir *itemRow) bool {
	newest := ta.newestVersions[ir.step.step.Model]
	return slices.ContainsFunc(ir.events, func(ev runner.Event) bool { return ev.Version+unusableLag <= newest })
}

const (
	// reuseRetention is how long the text of incomplete groups is retained. Trainers repeat such groups within two
	// steps or not at all.
	reuseRetention = 45 * time.Second
	// maxCachedResults bounds the text of ended steps that is held in memory, in bytes. Other results are read from
	// the key-value service on request.
	maxCachedResults = 16 << 20
)

// evictResults drops the results of the oldest ended steps from memory beyond maxCachedResults. They remain in the
// key-value service.
func (ta *Table) evictResults() {
	var ended []*stepRow
	for _, sr := range ta.steps {
		if sr.ended && len(sr.results) > 0 {
			ended = append(ended, sr)
		}
	}
	slices.SortFunc(ended, func(a, b *stepRow) int { return b.step.Accepted.Compare(a.step.Accepted) })
	size := 0
	for _, sr := range ended {
		for _, re := range sr.results {
			size += len(re.Text)
		}
		if size > maxCachedResults {
			sr.results, sr.resultsLoaded = nil, false
		}
	}
}
