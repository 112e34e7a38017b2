package step

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/runner"
)

// A restartedAttendant keeps the runs that it was told to begin, as a process that has just started does.
type restartedAttendant struct{ runs map[runner.Key]bool }

// exchange handles a request and returns the response.
func (ra *restartedAttendant) exchange(rq runner.ExchangeRequest) runner.ExchangeResponse {
	for _, la := range rq.Launches {
		ra.runs[la.Key] = true
	}
	for _, key := range rq.Forget {
		delete(ra.runs, key)
	}
	re := runner.ExchangeResponse{Boot: "second", Reachable: true, Report: runner.Report{Versions: map[string]uint64{"model": 1}}}
	for key := range ra.runs {
		re.Runs = append(re.Runs, runner.Progress{Endpoint: "a", Key: key})
	}
	return re
}

// Failure: items whose launch is the first that a restarted attendant hears are taken over and forgotten in one breath; they
// count as running, and nobody runs them.
func TestLaunchesToRestartedAttendantAreRun(t *testing.T) {
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 1, 1), StoredStep{}, false, begin)
	ra := restartedAttendant{runs: map[runner.Key]bool{}}
	ta.Place(begin) // the attendant is down meanwhile
	at := begin
	for range 5 {
		rq, _ := ta.Request("a")
		ta.HandleResponse("a", rq, ra.exchange(rq), at)
		at = at.Add(tickInterval)
		ta.Place(at)
	}
	for i := range 2 {
		_, key := keyOf(t, ta, "s", i)
		assert.Assert(t, ra.runs[key], fmt.Sprintf("item %d counts as running", i))
	}
}

// Failure: the runs of an attendant's former start count as running after it has started again.
func TestConfirmedRunsOfFormerStartAreLaunchedAgain(t *testing.T) {
	ta := tableOf(t, 1, "a")
	ta.Accept(stepOf("s", 1), StoredStep{}, false, begin)
	ta.Place(begin)
	_, former := keyOf(t, ta, "s", 0)
	respond(ta, "a", runner.ExchangeResponse{Runs: []runner.Progress{{Key: former}}}, begin)
	ra := restartedAttendant{runs: map[runner.Key]bool{}}
	at := begin.Add(time.Second)
	for range 4 {
		rq, _ := ta.Request("a")
		ta.HandleResponse("a", rq, ra.exchange(rq), at)
		at = at.Add(2 * avoidEngineFor)
		ta.Place(at)
	}
	rq, _ := ta.Request("a")
	ra.exchange(rq)
	_, key := keyOf(t, ta, "s", 0)
	assert.Assert(t, key != former && ra.runs[key], "%v", ra.runs)
}
