package step

import (
	"cmp"
	"slices"
	"time"

	"wisteriacroft/runner"
)

// Bounds of loading weights.
const (
	// leastAtOnce and partAtOnce say how many engines of a model load at once:
	// by the deployments' sheets the store of weights serves 2 of 11, 2 of 12, 9
	// of 46 and 10 of 50 at full speed, and more of them more slowly.
	leastAtOnce = 2
	partAtOnce  = 5
	// orderBound is after how long an order that does not show is given up.
	orderBound = 15 * time.Second
)

// Weights orders engines to load newer versions.
//
// Load pattern: a version is named each few seconds, and two engines at a time
// load it in about a second each, during which they begin nothing while what
// runs goes on. All engines take as long as a version lasts, so loading never
// pauses; the engines with the oldest version go first, and of those the
// fullest, since they couldn't begin anything anyway.
func (ta *Table) Weights(now time.Time) {
	for model, version := range ta.named {
		ta.loadModel(model, version, now)
	}
}

func (ta *Table) loadModel(model string, version uint64, now time.Time) {
	loading, serving := 0, 0
	var behind []*engineRow
	for _, en := range ta.sorted {
		if en.versions[model] == 0 {
			continue
		}
		serving++
		if en.order != nil {
			if now.Sub(en.orderAt) > orderBound {
				en.order = nil
			}
			loading++
			continue
		}
		if en.versions[model] < version && !en.leaving && !en.gone && !en.sick && !en.heardAt.IsZero() {
			behind = append(behind, en)
		}
	}
	slices.SortFunc(behind, func(a, b *engineRow) int {
		return cmp.Or(cmp.Compare(a.versions[model], b.versions[model]), cmp.Compare(len(b.items), len(a.items)),
			cmp.Compare(a.id, b.id))
	})
	single := ta.wantsSingle(model)
	for _, en := range behind {
		if loading >= max(leastAtOnce, serving/partAtOnce) {
			return
		}
		loading++
		en.order = &runner.Order{Endpoint: en.id, Fence: ta.epoch, Keep: !single, Model: model, Version: version}
		en.orderAt, en.ordered = now, false
		ta.log("weights ordered", map[string]any{
			"engine": en.id, "from": en.versions[model], "items": len(en.items), "model": model,
			"version": version,
		})
	}
}

// wantsSingle reports whether any open step wants a single version.
func (ta *Table) wantsSingle(model string) bool {
	return slices.ContainsFunc(ta.order, func(sr *stepRow) bool {
		return sr.step.Model == model && sr.step.SingleVersion
	})
}
