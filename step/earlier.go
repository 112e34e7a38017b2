package step

import (
	"bytes"
	"slices"
	"time"

	"wisteriacroft/runner"
)

// An itemKey names an item in all steps of its customer. Another customer's item may
// have the same ID, and must not get its text.
type itemKey struct{ customer, item string }

func (st *Step) itemKey(it *Item) itemKey { return itemKey{customer: st.Customer, item: it.ID} }

func (ir *itemRow) key() itemKey { return ir.step.step.itemKey(ir.item) }

// takeOver starts an item with the text that an earlier step made of it, if
// this step may have it.
func (ta *Table) takeOver(ir *itemRow, now time.Time) {
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
	ta.whole(ir, now)
}

// A length is how many events an item has at least.
type length struct {
	events int
	step   *stepRow // that showed it last
}

// noteLength keeps how long an item of a step that ends is known to be.
//
// A trainer ends a step by what it has read. Groups that became whole just before
// come again as well, and their longest items looked as short as their hints say.
func (ta *Table) noteLength(ir *itemRow) {
	if events := max(ir.knownEvents, len(ir.events)); events > 0 {
		ta.knownLengths[ir.key()] = length{events: events, step: ir.step}
	}
}

// Forget drops steps that no one reads any longer, and returns their IDs.
func (ta *Table) Forget(keep time.Duration, now time.Time) []string {
	var ids []string
	for id, sr := range ta.steps {
		if sr.ended && sr.age(now) > keep {
			delete(ta.steps, id)
			ids = append(ids, id)
			ta.endedSteps = slices.DeleteFunc(ta.endedSteps, func(st *Step) bool { return st.ID == id })
		}
	}
	for id, ir := range ta.reusableItems {
		if ir.step.age(now) > reuseTime || ta.outdated(ir) {
			delete(ta.reusableItems, id)
		}
	}
	for id, le := range ta.knownLengths {
		if le.step.age(now) > reuseTime {
			delete(ta.knownLengths, id)
		}
	}
	ta.forgetFormer(now)
	ta.evict()
	return ids
}

// outdated reports whether an item's text is too old for any later step.
//
// Load pattern: most groups of many steps are not whole in time. The text of these groups is
// then most of what a scheduler holds. Kept for reuseTime, it would fill the memory, and
// collecting garbage would delay the listing of results.
func (ta *Table) outdated(ir *itemRow) bool {
	newest := ta.newestVersions[ir.step.step.Model]
	return slices.ContainsFunc(ir.events, func(ev runner.Event) bool { return ev.Version+unusableLag <= newest })
}

const (
	// reuseTime is for how long the text of groups that were not whole is held:
	// they come again within two steps or not at all.
	reuseTime = 45 * time.Second
	// cachedResults is how much text of ended steps is held, in bytes. A third
	// of the least memory of an instance that may run a scheduler is left for
	// what is under way; older results are read when someone asks.
	cachedResults = 16 << 20
)

// evict drops the results of the oldest ended steps from memory, beyond what is
// to be held. They are kept in the key-value service.
func (ta *Table) evict() {
	var ended []*stepRow
	for _, sr := range ta.steps {
		if sr.ended && len(sr.results) > 0 {
			ended = append(ended, sr)
		}
	}
	slices.SortFunc(ended, func(a, b *stepRow) int { return b.step.Accepted.Compare(a.step.Accepted) })
	held := 0
	for _, sr := range ended {
		for _, re := range sr.results {
			held += len(re.Text)
		}
		if held > cachedResults {
			sr.results, sr.resultsLoaded = nil, false
		}
	}
}
