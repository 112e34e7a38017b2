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
	// Symptom: a step whose groups are all whole ends half a second late.
	// Sequence: its last but one result is listed and read; the last one follows
	// before the trainer reads again.
	// Cause: each result was listed on its own, up to the last moment.
	const second = time.Second
	for _, tc := range []struct {
		name     string
		target   int           // of three groups
		whole    int           // groups that are whole, the first ones
		again    int           // groups that were asked for before, the last ones
		since    time.Duration // the oldest result's age
		listedAt time.Duration // of the last write, after the step's start
		due      bool
	}{
		{"nothing is whole", 3, 0, 0, 0, 0, false},
		{"the first ones wait for others", 3, 1, 0, 75 * time.Millisecond, 0, false},
		{"the first ones have waited", 3, 1, 0, 150 * time.Millisecond, 0, true},
		{"too soon after the last write", 3, 1, 0, second, 9 * second, false},
		{"long after the last write", 3, 1, 0, second, 8 * second, true},
		{"the trainer waits for no more", 2, 2, 0, 0, 10 * second, true},
		{"a group comes again and is missing", 2, 2, 1, 0, 10 * second, false},
		{"all are whole", 3, 3, 1, 0, 10 * second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := begin.Add(10 * second)
			sr := &stepRow{groups: map[string]*groupRow{}, step: &Step{Groups: tc.target}, listedAt: begin.Add(tc.listedAt)}
			if tc.listedAt == 0 {
				sr.listedAt = time.Time{}
			}
			for i := range 3 {
				gr := &groupRow{again: i >= 3-tc.again, left: 1}
				ir := &itemRow{item: &Item{Group: fmt.Sprint(i)}, state: running}
				if i < tc.whole {
					gr.left, ir.state, ir.doneAt = 0, complete, now.Add(-tc.since)
				}
				sr.groups[fmt.Sprint(i)] = gr
				sr.items = append(sr.items, ir)
			}
			assert.Equal(t, listing.Decide(sr.listState(now), now) != listing.Wait, tc.due)
		})
	}
}

// twoLarge returns a table with a step of two items, of which the first is whole
// and has as much text as a listing is worth.
func twoLarge(t *testing.T, now time.Time) (*Table, *stepRow) {
	t.Helper()
	ta := tableOf(t, 1, "a")
	st := stepOf("s", 1, 1)
	st.Items[1].Hint, st.Items[1].Tokens = 4000, 8000 // it runs for seconds
	ta.Accept(st, StoredStep{}, false, now)
	ta.Place(now)
	end(ta, t, "s", 0, runner.Complete, []runner.Event{{Data: make([]byte, 300<<10), ID: 1, Version: 1}}, now)
	return ta, ta.steps["s"]
}

func TestOneListingForARead(t *testing.T) {
	// Symptom: a trainer's next read finds five results, and the last ones of its step
	// 4 ms later; it looks twice more.
	// Sequence: a read is answered because it ends; before its own goroutine has taken
	// note, the next listing is decided on.
	// Cause: the read still counted as waiting, and as about to end.
	ta, sr := twoLarge(t, begin)
	release := sr.hold(begin, time.Second)
	late := begin.Add(950 * time.Millisecond)
	chunks := ta.Due(late)
	assert.Equal(t, len(chunks), 1)
	assert.Equal(t, sr.why, listing.ReadEnds)
	ta.Listed(chunks, late)
	assert.Equal(t, len(sr.reads), 0)
	assert.Equal(t, sr.listState(late).ReadAge, time.Duration(0))
	release(late)
}

func TestReadJoinsWhatIsWritten(t *testing.T) {
	// Symptom: a step ends a second after its last result.
	// Sequence: results are listed; while the last ones are being written, 1 ms before
	// they are, the trainer's next read comes and is answered with the first ones.
	// Cause: what was about to be there was left to two more looks.
	for _, tc := range []struct {
		name    string
		takes   time.Duration // the write
		wait    time.Duration // that the reader allows
		results int
		answer  time.Duration
	}{
		{"a write", 20 * time.Millisecond, time.Second, 2, 19 * time.Millisecond},
		{"a slow write", time.Second, time.Second, 1, joinTime - time.Millisecond},
		{"a reader that doesn't wait", 20 * time.Millisecond, 0, 1, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ta, sr := twoLarge(t, time.Now())
				sc := &Scheduler{Log: quiet(), term: &term{ready: true, table: ta}}
				sr.hold(time.Now().Add(-950*time.Millisecond), time.Second)
				ta.Listed(ta.Due(time.Now()), time.Now())
				end(ta, t, "s", 1, runner.Complete, events(1, 1, 1), time.Now())
				chunks := ta.Due(time.Now())
				assert.Equal(t, sr.why, listing.Final)
				go func() {
					time.Sleep(tc.takes)
					sc.mu.Lock()
					defer sc.mu.Unlock()
					ta.Listed(chunks, time.Now())
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

func TestLastItemsAreWatched(t *testing.T) {
	// Load pattern: a step waits for its last items. Only the attendants that run them
	// are to tell of their ends at once.
	ta, sr := twoLarge(t, begin)
	rq, _ := ta.Request("a")
	assert.Equal(t, rq.Await, time.Duration(0))
	ta.Due(begin)
	assert.Assert(t, !sr.ending, "the second item runs for seconds")
	sr.items[1].events = events(1, 60, 1)
	ta.Due(begin)
	assert.Assert(t, sr.ending)
	rq, _ = ta.Request("a")
	assert.Equal(t, rq.Await, time.Duration(0), "the run is not known to have begun")
	sr.items[1].run.confirmed = true
	rq, _ = ta.Request("a")
	assert.Equal(t, rq.Await, awaitEnd)
	sr.served = true
	ta.Due(begin)
	rq, _ = ta.Request("a")
	assert.Equal(t, rq.Await, time.Duration(0), "the trainer has what it waits for")
}

func TestTrainerThatReadsOn(t *testing.T) {
	// Symptom: a step ends a second after its last result, after a change of scheduler.
	// Sequence: the scheduler lists as many groups as the trainer asked for; the trainer
	// also waits for a group that it asked for before, and reads on.
	// Cause: a step of which all that is waited for was listed was listed nothing more
	// until a read ended.
	now := begin
	ta := tableOf(t, 1, "a", "b")
	st := stepOf("s", 1, 1, 1)
	st.Groups = 1
	ta.Accept(st, StoredStep{}, false, now)
	ta.Place(now)
	for i, read := range []bool{false, false, true} {
		end(ta, t, "s", i, runner.Complete, events(1, 1, 1), now)
		if read {
			ta.steps["s"].hold(now, time.Second)
		}
		chunks := ta.Due(now)
		assert.Equal(t, len(chunks) > 0, i != 1, "%d", i)
		ta.Listed(chunks, now)
	}
	assert.Equal(t, len(ta.steps["s"].results), 3)
}

func TestEndOfItemsThatAreScored(t *testing.T) {
	// A text that waits for its score is expected to be listed as soon as others were,
	// not to run as long again.
	ta := tableOf(t, 1, "a")
	ta.Accept(scored(stepOf("s", 1)), StoredStep{}, false, begin)
	ta.Place(begin)
	end(ta, t, "s", 0, runner.Complete, events(1, 100, 1), begin)
	sr := ta.steps["s"]
	assert.Equal(t, sr.items[0].state, scoring)
	assert.Equal(t, ta.endsIn(sr, begin), usualReward)
}

func TestWhatEndsStepsIsListedFirst(t *testing.T) {
	// Symptom: a step ends half a second after an outage, though all that its trainer
	// waits for had long been whole.
	// Sequence: results of several steps become whole while nothing can be listed; one
	// step lacks nothing more, another one has megabytes and lacks an item.
	// Cause: all went into one write, which took as long as its megabytes.
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
	chunks := ta.Due(later)
	assert.Equal(t, len(chunks), 1)
	assert.Equal(t, chunks[0].Step, "small")
	ta.Listed(chunks, later)
	chunks = ta.Due(later)
	assert.Equal(t, len(chunks), 2)
	assert.Equal(t, chunks[0].Step, "large")
}
