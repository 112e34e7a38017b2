package step

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"wisteriacroft/runner"
)

// twoServices returns a table with engines of the services "service" and "other", two slots
// each, and a step for the first whose items take a second or more.
func twoServices(t *testing.T, engines, others, items int) *Table {
	t.Helper()
	ta := NewTable(1, nil)
	var infos []EngineInfo
	for i := range engines + others {
		service := "service"
		if i >= engines {
			service = "other"
		}
		infos = append(infos, EngineInfo{ID: string(rune('a' + i)), Service: service, Slots: 2, Tokens: 10000})
	}
	ta.SetEngines(infos, begin)
	for _, en := range ta.sortedEngines {
		respond(ta, en.id, runner.ExchangeResponse{Report: runner.Report{Versions: map[string]uint64{"model": 1, "second": 1}}}, begin)
	}
	sizes := make([]int, items)
	for i := range sizes {
		sizes[i] = 1
	}
	st := stepOf("s", sizes...)
	for i := range st.Items {
		st.Items[i].Hint, st.Items[i].Tokens = 1600, 6400
	}
	ta.Accept(st, StoredStep{}, false, begin)
	return ta
}

func plannedGroups(ta *Table, step string) int {
	count := 0
	for _, gr := range ta.steps[step].groups {
		if gr.plan.InTime() {
			count++
		}
	}
	return count
}

func TestCapacityIsPlannedByService(t *testing.T) {
	// Guards against planning a step's groups into slots of engines of another service,
	// which can't run them.
	ta := twoServices(t, 1, 20, 30)
	st := stepOf("t", 1)
	st.Service = "other"
	ta.Accept(st, StoredStep{}, false, begin)
	ta.planCapacity(begin)
	assert.Assert(t, plannedGroups(ta, "s") < 20)
	assert.Equal(t, plannedGroups(ta, "t"), 1)
}

func TestOverloadIsDetectedByService(t *testing.T) {
	// An overloaded service must not put another service, which has free slots, into
	// overload mode.
	ta := twoServices(t, 1, 4, 300)
	st := stepOf("t", 1)
	st.Service = "other"
	ta.Accept(st, StoredStep{}, false, begin)
	ta.SetVersion("model", 2)
	ta.SetVersion("second", 2)
	ta.planCapacity(begin)
	total := 0.0
	for _, part := range ta.engineShares(ta.sortedEngines[1:]) {
		total += part
	}
	assert.Assert(t, total < 4.01, "without overload each model gets its share: %v", total)
	total = 0
	for _, part := range ta.engineShares(ta.sortedEngines[:1]) {
		total += part
	}
	assert.Equal(t, total, 2.0, "under overload each model gets all engines")
	assert.Equal(t, plannedGroups(ta, "t"), 1)
}

// The hysteresis of overload detection is kept for each service on its own.
func TestOverloadHysteresisByService(t *testing.T) {
	ta := twoServices(t, 1, 1, 30)
	ta.planCapacity(begin)
	assert.Assert(t, ta.overloaded("service") && !ta.overloaded("other"))
	ta.End("s")
	st := stepOf("t", 1)
	st.Service = "other"
	ta.Accept(st, StoredStep{}, false, begin)
	ta.planCapacity(begin.Add(planInterval))
	loads := ta.ServiceLoads()
	assert.Assert(t, !loads["service"].Crowded && !loads["other"].Crowded)
	assert.Equal(t, loads["service"].Load, 0.0)
	assert.Assert(t, loads["other"].Load > 0)
}

// A customer with steps at another service only doesn't prevent items from being sent ahead.
func TestCustomersOfOtherServicesDontCompete(t *testing.T) {
	ta := twoServices(t, 1, 1, 60)
	ta.steps["s"].step.Customer = "large"
	st := stepOf("t", 8)
	st.Service, st.Customer = "other", "small"
	ta.Accept(st, StoredStep{}, false, begin)
	for now := begin; now.Before(begin.Add(time.Second)); now = now.Add(tickInterval) {
		ta.ChargeUsage(now)
		ta.Place(now)
	}
	assert.Assert(t, ta.prequeues("service"))
}

// Each service has its own metrics, which are unregistered after it had no steps for a while.
func TestLoadMetricsByService(t *testing.T) {
	ta := twoServices(t, 1, 1, 60)
	ta.planCapacity(begin)
	sc := &Scheduler{Metrics: metrics.NewSet()}
	sc.updateCapacityMetrics(ta)
	assert.DeepEqual(t, sc.Metrics.ListMetricNames(), []string{
		`wisteriacroft_step_load{service="service"}`, `wisteriacroft_steps_crowded{service="service"}`,
	})
	assert.Equal(t, sc.Metrics.GetOrCreateGauge(`wisteriacroft_steps_crowded{service="service"}`, nil).Get(), 1.0)
	ta.End("s")
	ta.planCapacity(begin.Add(planInterval))
	sc.updateCapacityMetrics(ta)
	assert.Equal(t, sc.Metrics.GetOrCreateGauge(`wisteriacroft_step_load{service="service"}`, nil).Get(), 0.0)
	ta.planCapacity(begin.Add(2 * time.Minute))
	sc.updateCapacityMetrics(ta)
	assert.Equal(t, len(sc.Metrics.ListMetricNames()), 0)
}
