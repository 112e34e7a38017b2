package step

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"wisteriacroft/runner"
)

// twoServices returns a table with engines of two places each of two services, "service"
// and "other", and a step at the first of items that take a second and more.
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
	for _, en := range ta.sorted {
		hear(ta, en.id, runner.ExchangeResponse{Report: runner.Report{Versions: map[string]uint64{"model": 1, "second": 1}}}, begin)
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

func TestFreeRoomOfOneServiceIsNotAnothers(t *testing.T) {
	// Symptom: all groups of a step are late, and none of them goes first.
	// Sequence: a step asks for far more than its service's engines can end; another
	// service, which has steps open too, has many engines free.
	// Cause: the places of all services were added up, and room was kept for groups in
	// places that can't run them.
	ta := twoServices(t, 1, 20, 30)
	st := stepOf("t", 1)
	st.Service = "other"
	ta.Accept(st, StoredStep{}, false, begin)
	ta.planRoom(begin)
	assert.Assert(t, plannedGroups(ta, "s") < 20)
	assert.Equal(t, plannedGroups(ta, "t"), 1)
}

func TestCrowdedServiceCrowdsNoOther(t *testing.T) {
	// Symptom: steps of a service with places to spare run in the order of hand-in, its
	// engines load the weights of all models, and its runs are refused their moves.
	// Sequence: a step asks another service for far more than it can do.
	// Cause: one load was told of all services together.
	ta := twoServices(t, 1, 4, 300)
	st := stepOf("t", 1)
	st.Service = "other"
	ta.Accept(st, StoredStep{}, false, begin)
	ta.SetVersion("model", 2)
	ta.SetVersion("second", 2)
	ta.planRoom(begin)
	total := 0.0
	for _, part := range ta.shares(ta.sorted[1:]) {
		total += part
	}
	assert.Assert(t, total < 4.01, "each model of the service with room has its share alone: %v", total)
	total = 0
	for _, part := range ta.shares(ta.sorted[:1]) {
		total += part
	}
	assert.Equal(t, total, 2.0, "each model of the crowded one has all")
	assert.Equal(t, plannedGroups(ta, "t"), 1)
}

// The load of one service rises and falls between the bounds while another's comes and
// goes: each is crowded by what it was itself.
func TestServicesRememberWhetherTheyWereCrowded(t *testing.T) {
	ta := twoServices(t, 1, 1, 30)
	ta.planRoom(begin)
	assert.Assert(t, ta.crowded("service") && !ta.crowded("other"))
	ta.End("s")
	st := stepOf("t", 1)
	st.Service = "other"
	ta.Accept(st, StoredStep{}, false, begin)
	ta.planRoom(begin.Add(planEvery))
	rooms := ta.Rooms()
	assert.Assert(t, !rooms["service"].Crowded && !rooms["other"].Crowded)
	assert.Equal(t, rooms["service"].Load, 0.0)
	assert.Assert(t, rooms["other"].Load > 0)
}

// A customer that has steps at another service alone doesn't keep items from being sent
// ahead: they take nothing from it.
func TestCustomersOfOtherServicesDontCompete(t *testing.T) {
	ta := twoServices(t, 1, 1, 60)
	ta.steps["s"].step.Customer = "large"
	st := stepOf("t", 8)
	st.Service, st.Customer = "other", "small"
	ta.Accept(st, StoredStep{}, false, begin)
	for now := begin; now.Before(begin.Add(time.Second)); now = now.Add(tickEvery) {
		ta.ChargeUsage(now)
		ta.Place(now)
	}
	assert.Assert(t, ta.sendsAhead("service"))
}

// Each service has figures of its own, and none any more once it had no step for a while.
func TestRoomsAreMeasuredByService(t *testing.T) {
	ta := twoServices(t, 1, 1, 60)
	ta.planRoom(begin)
	sc := &Scheduler{Metrics: metrics.NewSet()}
	sc.measureRoom(ta)
	assert.DeepEqual(t, sc.Metrics.ListMetricNames(), []string{
		`wisteriacroft_step_load{service="service"}`, `wisteriacroft_steps_crowded{service="service"}`,
	})
	assert.Equal(t, sc.Metrics.GetOrCreateGauge(`wisteriacroft_steps_crowded{service="service"}`, nil).Get(), 1.0)
	ta.End("s")
	ta.planRoom(begin.Add(planEvery))
	sc.measureRoom(ta)
	assert.Equal(t, sc.Metrics.GetOrCreateGauge(`wisteriacroft_step_load{service="service"}`, nil).Get(), 0.0)
	ta.planRoom(begin.Add(2 * time.Minute))
	sc.measureRoom(ta)
	assert.Equal(t, len(sc.Metrics.ListMetricNames()), 0)
}
