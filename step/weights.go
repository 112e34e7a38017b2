package step

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"wisteriacroft/runner"
)

// Limits of loading weights.
const (
	// leastAtOnce is the minimum number of concurrent loads of a service, and partAtOnce the
	// number of engines per load. The weight store serves this many at full speed.
	leastAtOnce = 2
	partAtOnce  = 5
	// orderBound is the timeout of an order without effect.
	orderBound = 15 * time.Second
)

// Weights orders engines to load newer versions.
//
// The weight store can't load all models to all engines as fast as versions are published. So
// the next load is always of the model with the fewest up-to-date engines relative to its share
// of the work, which keeps any model from starving. An engine may have weights of several
// models.
func (ta *Table) Weights(now time.Time) {
	byService := map[string][]*engineRow{}
	for _, en := range ta.sorted {
		if en.order != nil && now.Sub(en.orderAt) > orderBound {
			en.order = nil
		}
		if len(en.versions) > 0 {
			byService[en.service] = append(byService[en.service], en)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		ta.loadService(byService[service], now)
	}
}

// loadService orders loads of one service's engines up to the concurrency limit.
func (ta *Table) loadService(ens []*engineRow, now time.Time) {
	loading := 0
	for _, en := range ens {
		if en.order != nil {
			loading++
		}
	}
	shares, parts := ta.shares(ens), ta.modelParts(ens)
	for model, part := range parts {
		if share, ok := shares[model]; ok {
			shares[model] = max(share, part.engines)
		}
	}
	for loading < loadsAtOnce(len(ens)) {
		en, model := ta.neediest(ens, shares, parts, ta.neededLag(ens[0].service))
		if en == nil {
			en, model = ta.neediest(ens, shares, parts, 0)
		}
		if en == nil {
			return
		}
		ta.load(en, model, now)
		loading++
	}
}

// loadsAtOnce returns the maximum number of concurrent loads.
func loadsAtOnce(engines int) int {
	return max(leastAtOnce, (engines+partAtOnce/2)/partAtOnce)
}

// neededLag returns the number of versions that an engine may lag behind without a load, as long
// as others lag more. Under overload each engine should run all models, which needs more loads
// than the weight store can serve, so engines with a usable version can wait.
func (ta *Table) neededLag(service string) uint64 {
	if ta.crowded(service) {
		return uselessLag - 1
	}
	return 0
}

// neediest returns the model to load next and the engine to load it on, or nil: the model of the
// first customer by rank with the fewest engines that lag at most lag versions, relative to its
// share.
func (ta *Table) neediest(
	ens []*engineRow, shares map[string]float64, parts map[string]modelPart, lag uint64,
) (en *engineRow, model string) {
	least := 1.0
	for _, candidate := range slices.Sorted(maps.Keys(shares)) {
		version := ta.named[candidate] - min(lag, ta.named[candidate])
		fresh := 0
		for _, other := range ens {
			if other.freshFor(candidate, version) {
				fresh++
			}
		}
		// A fractional share is rounded up to whole engines.
		part := float64(fresh) / math.Ceil(shares[candidate])
		order := cmp.Or(cmp.Compare(parts[candidate].rank, parts[model].rank), cmp.Compare(part, least))
		if part >= 1 || en != nil && order >= 0 {
			continue
		}
		if oldest := ta.oldest(ens, candidate, version); oldest != nil {
			en, model, least = oldest, candidate, part
		}
	}
	return en, model
}

// freshFor reports whether an engine has, or is loading, at least the given version of a model.
func (en *engineRow) freshFor(model string, version uint64) bool {
	loads := en.order != nil && en.order.Model == model && en.order.Version >= version
	return en.versions[model] >= version || loads
}

// oldest returns the engine that should load a model next, or nil: the one with the oldest
// version before the given one, then the one with the fewest other usable models, then the one
// with the most runs, which can't start new ones anyway.
func (ta *Table) oldest(ens []*engineRow, model string, version uint64) *engineRow {
	var best *engineRow
	for _, en := range ens {
		if en.versions[model] == 0 || en.versions[model] >= version || en.order != nil {
			continue
		}
		if !en.reachable() {
			continue
		}
		if best == nil || ta.compareLoads(en, best, model) < 0 {
			best = en
		}
	}
	return best
}

// compareLoads orders engines by which should load a model first.
func (ta *Table) compareLoads(a, b *engineRow, model string) int {
	return cmp.Or(
		cmp.Compare(ta.lag(a, model), ta.lag(b, model)),
		cmp.Compare(ta.serves(a, model), ta.serves(b, model)),
		cmp.Compare(len(b.items), len(a.items)),
		cmp.Compare(a.id, b.id),
	)
}

// lag returns the negative number of versions that an engine lags behind, at least -uselessLag.
// Steps accept only the newest version and the one before it.
func (ta *Table) lag(en *engineRow, model string) int {
	return -int(min(ta.named[model]-en.versions[model], uselessLag))
}

// uselessLag is the lag from which on a version is useless to all steps.
const uselessLag = 2

// serves returns the number of an engine's models with a usable version, except the given one.
func (ta *Table) serves(en *engineRow, except string) int {
	count := 0
	for model, version := range en.versions {
		if model != except && version+uselessLag > ta.named[model] {
			count++
		}
	}
	return count
}

// load orders an engine to load a model's newest version.
func (ta *Table) load(en *engineRow, model string, now time.Time) {
	version := ta.named[model]
	en.order = &runner.Order{Endpoint: en.id, Fence: ta.epoch, Keep: !ta.wantsSingle(model), Model: model, Version: version}
	en.orderAt, en.ordered = now, false
	ta.log("weights ordered", map[string]any{
		engineField: en.id, "from": en.versions[model], "items": len(en.items), "model": model, "version": version,
	})
}

// shares returns the number of a service's engines for each model, in proportion to the models'
// work.
//
// Under overload, each model gets all engines: the plan assigns capacity step by step, and a
// step must be able to use all of it. Loads don't leave slots idle then, as items of other
// models are waiting.
func (ta *Table) shares(ens []*engineRow) map[string]float64 {
	demand, total := map[string]float64{}, 0.0
	for model := range ta.named {
		if slices.ContainsFunc(ens, func(en *engineRow) bool { return en.versions[model] > 0 }) {
			demand[model] = max(ta.demand[model], leastDemand)
			total += demand[model]
		}
	}
	shares := map[string]float64{}
	for model := range demand {
		shares[model] = float64(len(ens)) * demand[model] / total
		if ta.crowded(ens[0].service) {
			shares[model] = float64(len(ens))
		}
	}
	return shares
}

const (
	// leastDemand is the assumed work of a model without steps, in tokens.
	leastDemand = 1000
	// demandWeight is the weight of a new step in the moving average of a model's demand.
	demandWeight = 0.3
)

// observeDemand updates a model's demand by the work of a new step.
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

// wantsSingle reports whether an open step of a model needs samples of a single version.
func (ta *Table) wantsSingle(model string) bool {
	return slices.ContainsFunc(ta.order, func(sr *stepRow) bool {
		return sr.step.Model == model && sr.step.SingleVersion
	})
}
