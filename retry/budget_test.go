package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/outcome"
)

var noon = time.UnixMilli(1_700_000_000_000)

// Symptom: an order line runs twice, or a request is tried again though nobody waits for it.
// Sequence: one attempt fails, with each fate.
// Cause: a retry that asks only whether the attempt failed.
func TestWhetherToRetry(t *testing.T) {
	cases := []struct {
		name    string
		attempt Attempt
		want    bool
	}{
		{"not run", Attempt{Fate: outcome.NotRun, Number: 1}, true},
		{"unknown, repeatable", Attempt{Fate: outcome.Unknown, Number: 1, Repeatable: true}, true},
		{"unknown, not repeatable", Attempt{Fate: outcome.Unknown, Number: 1}, false},
		{"ran", Attempt{Fate: outcome.Ran, Number: 1, Repeatable: true}, false},
		{"last attempt", Attempt{Fate: outcome.NotRun, Number: defaultMaxAttempts}, false},
		{"deadline before the backoff ends", Attempt{Deadline: noon.Add(time.Millisecond), Fate: outcome.NotRun, Number: 1}, false},
		{"deadline after it", Attempt{Deadline: noon.Add(time.Second), Fate: outcome.NotRun, Number: 1}, true},
		{"asked to wait beyond the deadline", Attempt{Deadline: noon.Add(time.Second), Fate: outcome.NotRun, Number: 1, Wait: time.Second}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			wait, ok := NewBudget(Policy{}, 1).Retry(noon, tc.attempt)
			assert.Equal(t, ok, tc.want)
			assert.Assert(t, wait <= defaultBackoff)
		})
	}
}

// Symptom: an overload goes on after its cause is gone.
// Sequence: all requests fail for a while; each is tried three times.
// Cause: retries that come on top of the load, without bound.
func TestBudget(t *testing.T) {
	bu := NewBudget(Policy{}, 1)
	retries := 0
	for range 1000 {
		bu.Deposit()
		if _, ok := bu.Retry(noon, Attempt{Fate: outcome.NotRun, Number: 1}); ok {
			retries++
		}
	}
	assert.Assert(t, retries >= 100 && retries <= 110, "%d retries for 1000 requests", retries)
	none := NewBudget(Policy{Ratio: -1}, 1)
	none.Deposit()
	_, ok := none.Retry(noon, Attempt{Fate: outcome.NotRun, Number: 1})
	assert.Assert(t, !ok)
}

// Load: endpoints that turn away what they have no place for. Each retry then takes the
// place of another's first attempt.
func TestBudgetShrinksUnderRefusals(t *testing.T) {
	retries := func(refusedEach int) int {
		bu := NewBudget(Policy{Burst: 30, MaxAttempts: 30, Ratio: 0.2}, 1)
		count := 0
		for i := range 1000 {
			bu.Deposit()
			refused := refusedEach > 0 && i%refusedEach == 0
			bu.Observe(!refused)
			if _, ok := bu.Retry(noon, Attempt{Number: 1, Repeatable: true}); ok {
				count++
			}
		}
		return count
	}
	none, few, half := retries(0), retries(20), retries(2)
	t.Logf("retries of 1000: %d with none refused, %d with a twentieth, %d with half", none, few, half)
	assert.Assert(t, none >= 220)
	assert.Assert(t, few > none/2 && few < none)
	assert.Assert(t, half <= 15)
}
