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
	// minConcurrentLoads is the minimum number of concurrent loads of a service, and enginesPerLoad the
	// number of engines per load. The weight store serves this many at full speed.
	minConcurrentLoads = 2
	enginesPerLoad     = 5
	// orderTimeout is the timeout of an order without effect.
	orderTimeout = 15 * time.Second
)

// OrderLoads orders engines to load newer versions.
//
// The weight store can't load all models to all engines as fast as versions are published. So
// the next load is always of the model with the fewest up-to-date engines relative to its share
// of the work, which keeps any model from starving. An engine may have weights of several
// models.
func (ta *Table) OrderLoads(now time.Time) {
	byService := map[string][]*engineRow{}
	for _, en := range ta.sortedEngines {
		if en.order != nil && now.Sub(en.orderAt) > orderTimeout {
			en.order = nil
		}
		if len(en.versions) > 0 {
			byService[en.service] = append(byService[en.service], en)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		ta.orderServiceLoads(byService[service], now)
	}
}

// orderServiceLoads orders loads of one service's engines up to the concurrency limit.
func (ta *Table) orderServiceLoads(ens []*engineRow, now time.Time) {
	loading := 0
	for _, en := range ens {
		if en.order != nil {
			loading++
		}
	}
	shares, claims := ta.engineShares(ens), ta.modelClaims(ens)
	for model, claim := range claims {
		if share, ok := shares[model]; ok {
			shares[model] = max(share, claim.engines)
		}
	}
	for loading < maxConcurrentLoads(len(ens)) {
		en, model := ta.nextLoad(ens, shares, claims, ta.toleratedLag(ens[0].service))
		if en == nil {
			en, model = ta.nextLoad(ens, shares, claims, 0)
		}
		if en == nil {
			return
		}
		ta.orderLoad(en, model, now)
		loading++
	}
}

// maxConcurrentLoads returns the maximum number of concurrent loads.
func maxConcurrentLoads(engines int) int {
	return max(minConcurrentLoads, (engines+enginesPerLoad/2)/enginesPerLoad)
}

// toleratedLag returns the number of versions that an engine may lag behind without a load, as long
// as others lag more. Under overload each engine should run all models, which needs more loads
// than the weight store can serve, so engines with a usable version can wait.
func (ta *Table) toleratedLag(service string) uint64 {
	if ta.overloaded(service) {
		return unusableLag - 1
	}
	return 0
}

// nextLoad returns the model to load next and the engine to load it on, or nil: the model of the
// first customer by rank with the fewest engines that lag at most lag versions, relative to its
// share.
func (ta *Table) nextLoad(
	ens []*engineRow, shares map[string]float64, claims map[string]modelClaim, lag uint64,
) (en *engineRow, model string) {
	least := 1.0
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		version := ta.newestVersions[name] - min(lag, ta.newestVersions[name])
		upToDate := 0
		for _, other := range ens {
			if other.hasOrLoads(name, version) {
				upToDate++
			}
		}
		// A fractional share is rounded up to whole engines.
		progress := float64(upToDate) / math.Ceil(shares[name])
		order := cmp.Or(cmp.Compare(claims[name].rank, claims[model].rank), cmp.Compare(progress, least))
		if progress >= 1 || en != nil && order >= 0 {
			continue
		}
		if oldest := ta.engineToLoad(ens, name, version); oldest != nil {
			en, model, least = oldest, name, progress
		}
	}
	return en, model
}

// hasOrLoads reports whether an engine has, or is loading, at least the given version of a model.
func (en *engineRow) hasOrLoads(model string, version uint64) bool {
	loads := en.order != nil && en.order.Model == model && en.order.Version >= version
	return en.versions[model] >= version || loads
}

// engineToLoad returns the engine that should load a model next, or nil: the one with the oldest
// version before the given one, then the one with the fewest other usable models, then the one
// with the most runs, which can't start new ones anyway.
func (ta *Table) engineToLoad(ens []*engineRow, model string, version uint64) *engineRow {
	var best *engineRow
	var bestRank loadRank
	for _, en := range ens {
		if en.versions[model] == 0 || en.versions[model] >= version || en.order != nil {
			continue
		}
		if !en.reachable() {
			continue
		}
		if rank := ta.loadRank(en, model); best == nil || rank.compare(bestRank) < 0 {
			best, bestRank = en, rank
		}
	}
	return best
}

// A loadRank orders engines by which should load a model first. It is computed once for each engine, as
// counting an engine's usable models takes long where there are many engines.
type loadRank struct {
	id          string
	items       int
	negativeLag int
	usable      int // other models with a usable version
}

// loadRank returns the rank of an engine.
func (ta *Table) loadRank(en *engineRow, model string) loadRank {
	return loadRank{
		id: en.id, items: len(en.items), negativeLag: ta.negativeLag(en, model), usable: ta.countUsableModels(en, model),
	}
}

// compare is negative if lr comes before other.
func (lr loadRank) compare(other loadRank) int {
	return cmp.Or(
		cmp.Compare(lr.negativeLag, other.negativeLag),
		cmp.Compare(lr.usable, other.usable),
		cmp.Compare(other.items, lr.items),
		cmp.Compare(lr.id, other.id),
	)
}

// negativeLag returns the negative number of versions that an engine lags behind, at least -unusableLag.
// Steps accept only the newest version and the one before it.
func (ta *Table) negativeLag(en *engineRow, model string) int {
	return -int(min(ta.newestVersions[model]-en.versions[model], unusableLag))
}

// unusableLag is the lag from which on a version is useless to all steps.
const unusableLag = 2

// countUsableModels returns the number of an engine's models with a usable version, except the given one.
func (ta *Table) countUsableModels(en *engineRow, except string) int {
	count := 0
	for model, version := range en.versions {
		if model != except && version+unusableLag > ta.newestVersions[model] {
			count++
		}
	}
	return count
}

// orderLoad orders an engine to load a model's newest version.
func (ta *Table) orderLoad(en *engineRow, model string, now time.Time) {
	version := ta.newestVersions[model]
	en.order = &runner.Order{Endpoint: en.id, Fence: ta.epoch, Keep: !ta.needsSingleVersion(model), Model: model, Version: version}
	en.orderAt, en.orderAcked = now, false
	ta.log("weights ordered", map[string]any{
		engineField: en.id, "from": en.versions[model], "items": len(en.items), "model": model, "version": version,
	})
}

// engineShares returns the number of a service's engines for each model, in proportion to the models'
// work.
//
// Under overload, each model gets all engines: the plan assigns capacity step by step, and a
// step must be able to use all of it. Loads don't leave slots idle then, as items of other
// models are waiting.
func (ta *Table) engineShares(ens []*engineRow) map[string]float64 {
	demand, total := map[string]float64{}, 0.0
	for model := range ta.newestVersions {
		if slices.ContainsFunc(ens, func(en *engineRow) bool { return en.versions[model] > 0 }) {
			demand[model] = max(ta.demand[model], minDemand)
			total += demand[model]
		}
	}
	shares := map[string]float64{}
	for model := range demand {
		shares[model] = float64(len(ens)) * demand[model] / total
		if ta.overloaded(ens[0].service) {
			shares[model] = float64(len(ens))
		}
	}
	return shares
}

const (
	// minDemand is the assumed work of a model without steps, in tokens.
	minDemand = 1000
	// demandWeight is the weight of a new step in the moving average of a model's demand.
	demandWeight = 0.3
)

// observeDemand updates a model's demand by the work of a new step.
func (ta *Table) observeDemand(st *Step) {
	tokens := 0.0
	for i := range st.Items {
		tokens += float64(st.Items[i].expectedTokens())
	}
	if old, ok := ta.demand[st.Model]; ok {
		tokens = old + demandWeight*(tokens-old)
	}
	ta.demand[st.Model] = tokens
}

// needsSingleVersion reports whether an open step of a model needs samples of a single version.
func (ta *Table) needsSingleVersion(model string) bool {
	return slices.ContainsFunc(ta.openSteps, func(sr *stepRow) bool {
		return sr.step.Model == model && sr.step.SingleVersion
	})
}
