package measure

import (
	"os"
	"path/filepath"

	"wisteriacroft/batch"
	"wisteriacroft/document"
	"wisteriacroft/engine"
	"wisteriacroft/finding"
	"wisteriacroft/gate"
	"wisteriacroft/route"
)

// Policies is the content of testdata/policies.toml.
type Policies struct {
	Rows []Policy `toml:"policies"`
}

// A Policy is a set of policy options to measure. Omitted keys have the default
// of production.
type Policy struct {
	Cases           []string        `toml:"cases"`            // that it is measured on; none means all
	Delivery        string          `toml:"delivery"`         // "whole-steps" or "groups"; none means the case's
	FreshnessWeight *float64        `toml:"freshness-weight"` // none means the case's
	Gate            string          `toml:"gate"`             // "fresh-at-hand-over" or "start-at-once"
	GateOrder       gate.Discipline `toml:"gate-order"`
	LiveReserve     int             `toml:"live-reserve"` // slots reserved for live calls; 0 means the gate's default
	LiveOnly        bool            `toml:"live-only"`    // no samples run
	Name            string          `toml:"name"`
	NoAffinity      bool            `toml:"no-affinity"` // the router doesn't get prefixes
	NoRoom          bool            `toml:"no-room"`     // samples are also sent to full endpoints
	NoShares        bool            `toml:"no-shares"`   // all trainers have the same weight
	Order           string          `toml:"order"`       // "longest-first" or "first-in-first-out"
	Route           route.Policy    `toml:"route"`
	Straggling      string          `toml:"straggling"` // "resume", "restart" or "keep"
}

// ReadPolicies reads and validates the policies.
func ReadPolicies(path string) ([]Policy, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var li finding.List
	var pos Policies
	do := document.Read(filepath.Base(path), data, &pos, &li)
	for _, po := range pos.Rows {
		po.check(do)
	}
	return pos.Rows, li.Err()
}

// check adds a finding for each invalid choice.
func (po Policy) check(do *document.Document) {
	oneOf := func(key, value string, choices ...string) {
		for _, ch := range choices {
			if value == ch || value == "" {
				return
			}
		}
		do.Add("policies", "%s: %s must be one of %q, not %q", po.Name, key, choices, value)
	}
	oneOf("delivery", po.Delivery, "whole-steps", "groups")
	oneOf("gate", po.Gate, "fresh-at-hand-over", "start-at-once")
	oneOf("gate-order", string(po.GateOrder), string(gate.LiveFirst), string(gate.FirstInFirstOut))
	oneOf("order", po.Order, "longest-first", "first-in-first-out")
	oneOf("route", string(po.Route), string(route.LeastLoaded), string(route.RoundRobin))
	oneOf("straggling", po.Straggling, "resume", "restart", "keep")
}

// Covers reports whether the policy is measured on a case.
func (po Policy) Covers(ca Case) bool {
	for _, name := range po.Cases {
		if name == ca.Name {
			return true
		}
	}
	return len(po.Cases) == 0
}

// batchPolicy returns the policy of a trainer's batches.
func (po Policy) batchPolicy(ca Case, tr TrainerRow) batch.Policy {
	bp := batch.Policy{
		FreshnessWeight: ca.Samples.FreshnessWeight,
		MaxOpenSteps:    tr.StepsAhead + 1,
		Share:           tr.Share,
		StalenessBound:  engine.Version(ca.Samples.StalenessBound),
		WholeSteps:      ca.Samples.WholeSteps,
	}
	if po.FreshnessWeight != nil {
		bp.FreshnessWeight = *po.FreshnessWeight
	}
	if po.Delivery != "" {
		bp.WholeSteps = po.Delivery == "whole-steps"
	}
	if po.Gate == "start-at-once" {
		bp.Gate = batch.StartAtOnce
	}
	if po.NoShares {
		bp.Share = 0
	}
	if po.Order == "first-in-first-out" {
		bp.Order = batch.FirstInFirstOut
	}
	switch po.Straggling {
	case "restart":
		bp.Straggling = batch.RestartStragglers
	case "keep":
		bp.Straggling = batch.KeepStragglers
	}
	return bp
}

// gatePolicy returns the policy of an endpoint's gate.
func (po Policy) gatePolicy(ca Case) gate.Policy {
	gp := gate.Policy{LiveReserve: po.LiveReserve, MaxRunning: ca.Engines.MaxRunning, Order: po.GateOrder}
	if po.NoShares {
		return gp
	}
	for _, tr := range ca.Trainers {
		gp.Shares = append(gp.Shares, gate.Share{Name: tr.Name, Weight: int(tr.Share)})
	}
	return gp
}

// routeOptions returns the options of the entry's router.
func (po Policy) routeOptions(ca Case, seed uint64) route.Options {
	return route.Options{FailureDomain: ca.FailureDomains[0], Policy: po.Route, Seed: seed}
}
