package step

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// replayShares replays a small customer with one trainer beside a large one with ten. It returns
// the fraction of groups in time of the small customer, and of both together.
func replayShares(seed uint64, anyShare bool) (small, all float64) {
	trainers := []*simTrainer{newTrainer(smallDeployment, "small", 10, 4, 500*time.Millisecond, seed)}
	for i := range 10 {
		trainers = append(trainers, newTrainer(smallDeployment, fmt.Sprintf("large-%d", i), 10, 4, 500*time.Millisecond, seed+uint64(10*i+10)))
	}
	for i, tr := range trainers {
		tr.customer = "large"
		if i == 0 {
			tr.customer = "small"
		}
	}
	re := newReplay(smallDeployment, factors(5), trainers)
	re.table.ignoreShares = anyShare
	re.run(replayTime, nil)
	inTime, requested := 0, 0
	for _, tr := range trainers {
		inTime += tr.inTime
		requested += int(replayTime/tr.every) * tr.target
	}
	return float64(trainers[0].inTime) / float64(int(replayTime/trainers[0].every)*trainers[0].target), float64(inTime) / float64(requested)
}

// A customer that asks for more than the engines can do must not delay the steps of a small
// customer.
func TestSmallCustomerBesideALargeOne(t *testing.T) {
	var small, all, smallBefore, allBefore float64
	const seeds = 4
	for seed := range uint64(seeds) {
		s, a := replayShares(seed, false)
		small, all = small+s/seeds, all+a/seeds
		s, a = replayShares(seed, true)
		smallBefore, allBefore = smallBefore+s/seeds, allBefore+a/seeds
	}
	t.Logf("small %.3f of all %.3f; by least slack alone %.3f of %.3f", small, all, smallBefore, allBefore)
	assert.Assert(t, small >= all/4)
	assert.Assert(t, small >= all)
	assert.Assert(t, small > smallBefore)
}
