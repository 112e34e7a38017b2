package step

import (
	"cmp"
	"slices"
	"time"

	"wisteriacroft/runner"
)

// Bounds of loading weights.
const (
	// atOnce is how many engines of a service load at once. With more, the
	// store of weights serves each more slowly.
	atOnce = 2
	// orderBound is after how long an order that does not show is given up.
	orderBound = 15 * time.Second
)

// Weights orders engines to load newer versions.
//
// Load pattern: a version is named each few seconds, and a load takes an engine
// out of placing for about a second. Engines that no open step can use load
// first; the others load, fewest items first, while no item waits, since the
// next step may use what is one version old.
func (ta *Table) Weights(now time.Time) {
	for model, version := range ta.named {
		ta.loadModel(model, version, now)
	}
}

func (ta *Table) loadModel(model string, version uint64, now time.Time) {
	loading := 0
	var behind []*engineRow
	for _, en := range ta.engines {
		if en.versions[model] == 0 {
			continue
		}
		if en.order != nil {
			if now.Sub(en.orderAt) > orderBound {
				en.order = nil
			}
			loading++
			continue
		}
		if en.versions[model] < version && !en.leaving && !en.sick && !en.heardAt.IsZero() {
			behind = append(behind, en)
		}
	}
	slices.SortFunc(behind, func(a, b *engineRow) int {
		return cmp.Or(cmp.Compare(a.versions[model], b.versions[model]), cmp.Compare(len(a.items), len(b.items)),
			cmp.Compare(a.id, b.id))
	})
	needed, waits, single := ta.needs(model)
	for _, en := range behind {
		if loading >= atOnce {
			return
		}
		if en.versions[model] >= needed && waits {
			continue
		}
		loading++
		en.order = &runner.Order{Endpoint: en.id, Fence: ta.epoch, Keep: !single, Model: model, Version: version}
		en.orderAt, en.ordered = now, false
		ta.log("weights ordered", map[string]any{
			"engine": en.id, "from": en.versions[model], "items": len(en.items), "model": model, "needed": needed,
			"version": version, "waits": waits,
		})
	}
}

// needs returns the oldest version that the newest open step may have, whether
// items of the model wait, and whether any open step wants a single version.
func (ta *Table) needs(model string) (needed uint64, waits, single bool) {
	for _, sr := range ta.order {
		if sr.step.Model != model {
			continue
		}
		needed = max(needed, sr.step.MinVersion)
		single = single || sr.step.SingleVersion
		waits = waits || slices.ContainsFunc(sr.items, func(ir *itemRow) bool { return ir.state == waiting })
	}
	return needed, waits, single
}
