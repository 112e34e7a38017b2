package step

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/listing"
	"wisteriacroft/runner"
)

func TestDueResults(t *testing.T) {
	// Guards against listing results one by one near the end of a step: the trainer would need another read for the
	// last of them.
	const second = time.Second
	for _, tc := range []struct {
		name     string
		target   int           // groups the trainer waits for, of three
		whole    int           // number of leading groups that are complete
		again    int           // number of trailing groups that an earlier step requested too
		since    time.Duration // age of the oldest result
		listedAt time.Duration // time of the last write, from the start of the step
		due      bool
	}{
		{"nothing is complete", 3, 0, 0, 0, 0, false},
		{"first results wait for more", 3, 1, 0, 75 * time.Millisecond, 0, false},
		{"first results have waited", 3, 1, 0, 150 * time.Millisecond, 0, true},
		{"too soon after the last write", 3, 1, 0, second, 9 * second, false},
		{"long after the last write", 3, 1, 0, second, 8 * second, true},
		{"target is complete", 2, 2, 0, 0, 10 * second, true},
		{"a repeated group is missing", 2, 2, 1, 0, 10 * second, false},
		{"all groups are complete", 3, 3, 1, 0, 10 * second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := begin.Add(10 * second)
			sr := &stepRow{groups: map[string]*groupRow{}, step: &Step{Groups: tc.target}, listedAt: begin.Add(tc.listedAt)}
			if tc.listedAt == 0 {
				sr.listedAt = time.Time{}
			}
			for i := range 3 {
				gr := &groupRow{recurring: i >= 3-tc.again, openItems: 1}
				ir := &itemRow{item: &Item{Group: fmt.Sprint(i)}, state: running}
				if i < tc.whole {
					gr.openItems, ir.state, ir.doneAt = 0, complete, now.Add(-tc.since)
				}
				sr.groups[fmt.Sprint(i)] = gr
				sr.items = append(sr.items, ir)
			}
			assert.Equal(t, listing.Decide(sr.listingState(now), now) != listing.Wait, tc.due)
		})
	}
}

// twoLarge returns a table with a step of two items. The first is complete and has enough text to be listed for a
// read that is about to end.
func twoLarge(t *testing.T, now time.Time) (*Table, *stepRow) {
	t.Helper()
	ta := tableOf(t, 1, "a")
	st := stepOf("s", 1, 1)
	st.Items[1].Hint, st.Items[1].Tokens = 4000, 8000 // runs for seconds
	ta.Accept(st, StoredStep{}, false, now)
	ta.Place(now)
	end(ta, t, "s", 0, runner.Complete, []runner.Event{{Data: make([]byte, 300<<10), ID: 1, Version: 1}}, now)
	return ta, ta.steps["s"]
}

func TestSingleListingPerRead(t *testing.T) {
	// Guards against a second listing for a read that has been answered but not yet removed by its own goroutine.
	ta, sr := twoLarge(t, begin)
	release := sr.addRead(begin, time.Second)
	late := begin.Add(950 * time.Millisecond)
	chunks := ta.DueChunks(late)
	assert.Equal(t, len(chunks), 1)
	assert.Equal(t, sr.listingReason, listing.ReadEnds)
	ta.ChunksListed(chunks, late)
	assert.Equal(t, len(sr.reads), 0)
	assert.Equal(t, sr.listingState(late).ReadAge, time.Duration(0))
	release(late)
}

func TestReadWaitsForPendingWrite(t *testing.T) {
	// Guards against a read returning some results while the last ones are being written: the trainer would have to
	// read again.
	for _, tc := range []struct {
		name    string
		takes   time.Duration // duration of the write
		wait    time.Duration // wait time of the read
		results int
		answer  time.Duration
	}{
		{"a write", 20 * time.Millisecond, time.Second, 2, 19 * time.Millisecond},
		{"a slow write", time.Second, time.Second, 1, maxJoinWait - time.Millisecond},
		{"a reader that doesn't wait", 20 * time.Millisecond, 0, 1, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ta, sr := twoLarge(t, time.Now())
				sc := &Scheduler{Log: discardLog(), term: &term{ready: true, table: ta}}
				sr.addRead(time.Now().Add(-950*time.Millisecond), time.Second)
				ta.ChunksListed(ta.DueChunks(time.Now()), time.Now())
				end(ta, t, "s", 1, runner.Complete, events(1, 1, 1), time.Now())
				chunks := ta.DueChunks(time.Now())
				assert.Equal(t, sr.listingReason, listing.Final)
				go func() {
					time.Sleep(tc.takes)
					sc.mu.Lock()
					defer sc.mu.Unlock()
					ta.ChunksListed(chunks, time.Now())
				}()
				time.Sleep(time.Millisecond)
				begun := time.Now()
				li, err := sc.read(t.Context(), ReadRequest{ID: "s", Wait: tc.wait})
				assert.NilError(t, err)
				assert.Equal(t, len(li.Results), tc.results)
				assert.Equal(t, time.Since(begun), tc.answer)
				time.Sleep(tc.takes)
			})
		})
	}
}

func TestExchangesOfLastItemsFollowAtOnce(t *testing.T) {
	// When a step waits for its last items, exchanges with the attendants that run them follow at once. Every
	// attendant reports an end at once, except that a new run is confirmed first.
	ta, sr := twoLarge(t, begin)
	rq, _ := ta.Request("a")
	assert.Equal(t, rq.Await, time.Duration(0), "the run is not confirmed")
	assert.Equal(t, ta.pauseAfterExchange("a"), exchangePause)
	ta.DueChunks(begin)
	assert.Assert(t, !sr.ending, "the second item runs for seconds")
	sr.items[1].events = events(1, 60, 1)
	ta.DueChunks(begin)
	assert.Assert(t, sr.ending)
	rq, _ = ta.Request("a")
	assert.Equal(t, rq.Await, time.Duration(0), "the run is not confirmed")
	assert.Equal(t, ta.pauseAfterExchange("a"), exchangePause)
	sr.items[1].run.confirmed = true
	rq, _ = ta.Request("a")
	assert.Equal(t, rq.Await, minExchangeInterval-exchangePause)
	assert.Equal(t, ta.pauseAfterExchange("a"), lastItemsPause)
	sr.served = true
	ta.DueChunks(begin)
	assert.Equal(t, ta.pauseAfterExchange("a"), exchangePause, "the target is listed")
}

func TestTrainerReadsBeyondTarget(t *testing.T) {
	// Guards against late listing after a failover: a trainer that reads on after its target was listed waits for a
	// group of an earlier step, which the new scheduler has no record of.
	now := begin
	ta := tableOf(t, 1, "a", "b")
	st := stepOf("s", 1, 1, 1)
	st.Groups = 1
	ta.Accept(st, StoredStep{}, false, now)
	ta.Place(now)
	for i, read := range []bool{false, false, true} {
		end(ta, t, "s", i, runner.Complete, events(1, 1, 1), now)
		if read {
			ta.steps["s"].addRead(now, time.Second)
		}
		chunks := ta.DueChunks(now)
		assert.Equal(t, len(chunks) > 0, i != 1, "%d", i)
		ta.ChunksListed(chunks, now)
	}
	assert.Equal(t, len(ta.steps["s"].results), 3)
}

func TestExpectedEndWhileScoring(t *testing.T) {
	// The expected remaining time of an item that waits for its score is the usual time of a reward call.
	ta := tableOf(t, 1, "a")
	ta.Accept(scored(stepOf("s", 1)), StoredStep{}, false, begin)
	ta.Place(begin)
	end(ta, t, "s", 0, runner.Complete, events(1, 100, 1), begin)
	sr := ta.steps["s"]
	assert.Equal(t, sr.items[0].state, scoring)
	assert.Equal(t, ta.endsIn(sr, begin), defaultRewardTime)
}

func TestFinalResultsAreListedFirst(t *testing.T) {
	// Guards against the final results of a step sharing a write with megabytes of another step that is not complete.
	ta := tableOf(t, 1, "a", "b", "c")
	ta.Accept(stepOf("large", 3), StoredStep{}, false, begin)
	ta.Accept(stepOf("small", 1), StoredStep{}, false, begin)
	ta.Place(begin)
	big := events(1, 1, 1)
	big[0].Data = make([]byte, partSize)
	end(ta, t, "large", 0, runner.Complete, big, begin)
	end(ta, t, "large", 1, runner.Complete, big, begin)
	end(ta, t, "small", 0, runner.Complete, events(1, 1, 1), begin)
	later := begin.Add(6 * time.Second)
	chunks := ta.DueChunks(later)
	assert.Equal(t, len(chunks), 1)
	assert.Equal(t, chunks[0].Step, "small")
	ta.ChunksListed(chunks, later)
	chunks = ta.DueChunks(later)
	assert.Equal(t, len(chunks), 2)
	assert.Equal(t, chunks[0].Step, "large")
}
