package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/outcome"
)

var noon = time.UnixMilli(1_700_000_000_000)

// A request that is not repeatable must not run twice, and a request must not be retried after its
// deadline.
func TestRetry(t *testing.T) {
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

// Retries are limited to a fraction of requests, so that they cannot keep an overload going after
// its cause has ended.
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

// While endpoints reject requests for lack of capacity, each retry would displace a first attempt.
func TestBudgetShrinksWithRejections(t *testing.T) {
	retries := func(rejectEach int) int {
		bu := NewBudget(Policy{Burst: 30, MaxAttempts: 30, Ratio: 0.2}, 1)
		count := 0
		for i := range 1000 {
			bu.Deposit()
			rejected := rejectEach > 0 && i%rejectEach == 0
			bu.Observe(!rejected)
			if _, ok := bu.Retry(noon, Attempt{Number: 1, Repeatable: true}); ok {
				count++
			}
		}
		return count
	}
	none, few, half := retries(0), retries(20), retries(2)
	t.Logf("retries of 1000: %d with none rejected, %d with a twentieth, %d with half", none, few, half)
	assert.Assert(t, none >= 220)
	assert.Assert(t, few > none/2 && few < none)
	assert.Assert(t, half <= 15)
}
