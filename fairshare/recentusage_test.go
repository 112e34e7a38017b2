package fairshare

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A customer that left is included for RecentTime, and then dropped.
func TestRecentUsage(t *testing.T) {
	var re RecentUsage
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 10 {
		now = now.Add(time.Second)
		re.Add(map[string]int{"bakery": 3, "mill": 1}, time.Second, now)
	}
	assert.DeepEqual(t, re.Shares(now), map[string]float64{"bakery": 0.75, "mill": 0.25})
	for range 30 {
		now = now.Add(time.Second)
		re.Add(map[string]int{"mill": 1}, time.Second, now)
	}
	assert.DeepEqual(t, re.Shares(now), map[string]float64{"bakery": 30.0 / 70, "mill": 40.0 / 70})
	now = now.Add(RecentTime - 20*time.Second)
	re.Add(map[string]int{"mill": 1}, time.Second, now)
	assert.DeepEqual(t, re.Shares(now), map[string]float64{"mill": 1})
	assert.Equal(t, len(re.Shares(now.Add(2*RecentTime))), 0)
	re.Add(map[string]int{"mill": 0}, time.Second, now.Add(2*RecentTime))
	assert.Equal(t, len(re.Shares(now.Add(2*RecentTime))), 0, "a customer without usage has no share")
}

func TestRecentUsageIsBounded(t *testing.T) {
	var re RecentUsage
	places := map[string]int{}
	for i := range 2 * maxCustomers {
		places[fmt.Sprint("c", i)] = 1
	}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	re.Add(places, time.Second, now)
	assert.Equal(t, len(re.Shares(now)), maxCustomers)
}
