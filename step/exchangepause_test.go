package step

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/runner"
)

// Guards against a scheduler overloaded by exchanges with thousands of engines.
func TestExchangesAreFewer(t *testing.T) {
	for _, tc := range []struct {
		engines  int
		interval time.Duration
	}{
		{1, minExchangeInterval},
		{200, minExchangeInterval},
		{500, 250 * time.Millisecond},
		{1100, maxExchangeInterval},
		{2700, maxExchangeInterval},
	} {
		t.Run(fmt.Sprint(tc.engines), func(t *testing.T) {
			ta := NewTable(1, nil)
			var infos []EngineInfo
			for i := range tc.engines {
				infos = append(infos, EngineInfo{ID: fmt.Sprintf("engine-%04d", i), Service: "service", Slots: 1, Tokens: 40000})
			}
			ta.SetEngines(infos, begin)
			rq, _ := ta.Request("engine-0000")
			assert.Equal(t, rq.Await, time.Duration(0), "the first contact")
			for _, en := range ta.sortedEngines {
				respond(ta, en.id, runner.ExchangeResponse{}, begin)
			}
			rq, _ = ta.Request("engine-0000")
			assert.Equal(t, rq.Await+exchangePause, maxExchangeInterval, "no step is open")

			ta.Accept(stepOf("step", 1), StoredStep{}, false, begin)
			rq, _ = ta.Request("engine-0000")
			assert.Equal(t, rq.Await+exchangePause, tc.interval)

			ta.Place(begin)
			busy := 0
			for _, en := range ta.sortedEngines {
				if len(en.items) == 0 {
					continue
				}
				busy++
				rq, _ = ta.Request(en.id)
				assert.Equal(t, rq.Await, time.Duration(0), "a new run is confirmed at once")
				assert.Assert(t, ta.exchangeUrgent(en.id), "a new run is sent at once")
			}
			assert.Equal(t, busy, 1)
		})
	}
}

// BenchmarkSetEngines updates a table of 2,700 engines.
func BenchmarkSetEngines(b *testing.B) {
	ta := NewTable(1, nil)
	var infos []EngineInfo
	for i := range 2700 {
		infos = append(infos, EngineInfo{ID: fmt.Sprintf("engine-%04d", i), Service: "service", Slots: 6, Tokens: 30000})
	}
	for b.Loop() {
		ta.SetEngines(infos, begin)
	}
}
