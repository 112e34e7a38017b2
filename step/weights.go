package step

import (
	"cmp"
	"maps"
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
	ta.assign()
	for _, model := range slices.Sorted(maps.Keys(ta.named)) {
		ta.loadModel(model, ta.named[model], now)
	}
}

// assign gives each engine the model whose newest versions it loads.
//
// Load pattern: several trainers share the engines, each with a model of its
// own, and each names a version every few seconds. An engine that loaded every
// model's would load all the time; so each loads those of one, by the part of
// the work that the models make. What it holds of the others is used while it
// is new enough.
func (ta *Table) assign() {
	byService := map[string][]*engineRow{}
	for _, en := range ta.sorted {
		if len(en.versions) > 0 && !en.leaving && !en.gone {
			byService[en.service] = append(byService[en.service], en)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		ta.assignService(byService[service])
	}
}

// assignService gives models to the engines of one service.
func (ta *Table) assignService(ens []*engineRow) {
	want := ta.shares(ens)
	have := map[string]int{}
	for _, en := range ens {
		if _, ok := want[en.model]; !ok {
			en.model = ""
		}
		have[en.model]++
	}
	for _, en := range ens {
		if en.model != "" && have[en.model] <= want[en.model] || en.order != nil {
			continue
		}
		if model := shortest(en, have, want); model != "" {
			have[en.model]--
			have[model]++
			en.model = model
			ta.log("engine assigned", map[string]any{engineField: en.id, "engines": have[model], "model": model})
		}
	}
}

// shortest returns the model that lacks the most engines and that an engine
// serves, or "".
func shortest(en *engineRow, have, want map[string]int) string {
	best := ""
	for _, model := range slices.Sorted(maps.Keys(want)) {
		lacks := want[model] - have[model]
		if en.versions[model] > 0 && lacks > 0 && (best == "" || lacks > want[best]-have[best]) {
			best = model
		}
	}
	return best
}

// shares returns how many of a service's engines each of its models is to have.
func (ta *Table) shares(ens []*engineRow) map[string]int {
	demand, total := map[string]float64{}, 0.0
	for model := range ta.named {
		if slices.ContainsFunc(ens, func(en *engineRow) bool { return en.versions[model] > 0 }) {
			demand[model] = max(ta.demand[model], leastDemand)
			total += demand[model]
		}
	}
	shares := map[string]int{}
	left := len(ens)
	models := slices.Sorted(maps.Keys(demand))
	for i, model := range models {
		part := int(float64(len(ens))*demand[model]/total + 0.5)
		if i == len(models)-1 {
			part = left
		}
		shares[model] = max(min(part, left), 0)
		left -= shares[model]
	}
	return shares
}

const (
	// leastDemand is the work, in tokens, that a model is given engines for
	// before any step of it has come.
	leastDemand = 1000
	// demandWeight is the part of a new step in a model's demand.
	demandWeight = 0.3
)

// observeDemand takes the work of a new step in.
func (ta *Table) observeDemand(st *Step) {
	tokens := 0.0
	for i := range st.Items {
		tokens += float64(st.Items[i].expected())
	}
	if old, ok := ta.demand[st.Model]; ok {
		tokens = old + demandWeight*(tokens-old)
	}
	ta.demand[st.Model] = tokens
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
		if en.model == model && en.versions[model] < version && !en.leaving && !en.gone && !en.sick && !en.heardAt.IsZero() {
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
			engineField: en.id, "from": en.versions[model], "items": len(en.items), "model": model,
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
