package step

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/runner"
)

// Guards against a scheduler overloaded by exchanges with thousands of idle engines.
func TestIdleEnginesArePolledLessOften(t *testing.T) {
	for _, tc := range []struct {
		engines int
		idle    time.Duration
	}{
		{1, exchangeInterval},
		{500, exchangeInterval},
		{1100, 220 * time.Millisecond},
		{2700, idleExchangeInterval},
	} {
		t.Run(fmt.Sprint(tc.engines), func(t *testing.T) {
			ta := NewTable(1, nil)
			var infos []EngineInfo
			for i := range tc.engines {
				infos = append(infos, EngineInfo{ID: fmt.Sprintf("engine-%04d", i), Service: "service", Slots: 1, Tokens: 40000})
			}
			ta.SetEngines(infos, begin)
			assert.Equal(t, ta.exchangePause("engine-0000"), idleExchangeInterval, "no step is open")

			ta.Accept(stepOf("step", 1), StoredStep{}, false, begin)
			assert.Equal(t, ta.exchangePause("engine-0000"), tc.idle)

			for _, en := range ta.sortedEngines {
				respond(ta, en.id, runner.ExchangeResponse{}, begin)
			}
			ta.Place(begin)
			busy := 0
			for _, en := range ta.sortedEngines {
				if len(en.items) == 0 {
					continue
				}
				busy++
				assert.Equal(t, ta.exchangePause(en.id), exchangeInterval)
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
