package usage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var bookBegin = WindowOf(time.Unix(1_000_000, 0), testWindow).End(testWindow) // the first moment of a window

func newBook() *Aggregator {
	bo := &Aggregator{Size: testWindow}
	bo.load(Record{})
	bo.Decide(bookBegin)
	return bo
}

// push is what an entry tells at a moment of its steady clock: starts of ada.
func push(boot string, number uint64, now, settled time.Duration, starts ...time.Duration) PushRequest {
	rq := PushRequest{Boot: boot, Instance: boot, Now: now, Settled: settled}
	ba := Batch{Number: number}
	for _, at := range starts {
		ba.Starts = append(ba.Starts, Start{At: at, Customer: "ada"})
	}
	if len(starts) > 0 {
		rq.Batches = []Batch{ba}
	}
	return rq
}

func TestBookCountsInTheWindowOfTheStart(t *testing.T) {
	bo := newBook()
	first := WindowOf(bookBegin, testWindow)
	// Told 6 s into the window: one began 5.9 s ago, one 0.5 s ago.
	late := bo.Apply(push("a", 1, 100*time.Second, 100*time.Second, 94100*time.Millisecond, 99500*time.Millisecond), bookBegin.Add(6*time.Second))
	assert.Equal(t, late, uint64(0))
	assert.Equal(t, bo.record.Open[first]["ada"], uint64(1))
	assert.Equal(t, bo.record.Open[first+1]["ada"], uint64(1))
	bo.Apply(push("a", 1, 101*time.Second, 101*time.Second, 94100*time.Millisecond), bookBegin.Add(7*time.Second))
	assert.Equal(t, bo.record.Open[first]["ada"], uint64(1), "a batch counts once")
}

func TestBookWaitsForEntries(t *testing.T) {
	end := bookBegin.Add(testWindow)
	cases := []struct {
		name    string
		settled time.Duration // of the second entry, before its push 100 ms after the end
		over    time.Duration
		decided bool
	}{
		{"all told", 0, leastWait, true},
		{"too early", 0, leastWait - time.Millisecond, false},
		{"a request was under way", 300 * time.Millisecond, leastWait, false},
		{"it stays under way", 300 * time.Millisecond, mostWait, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			bo := newBook()
			at := end.Add(100 * time.Millisecond)
			bo.Apply(push("a", 1, time.Minute, time.Minute), at)
			bo.Apply(push("b", 1, time.Minute, time.Minute-tc.settled), at)
			res := bo.Decide(end.Add(tc.over))
			assert.Equal(t, len(res) > 0, tc.decided)
		})
	}
}

func TestBookOfAnEntryThatEnded(t *testing.T) {
	bo := newBook()
	rq := push("a", 1, time.Minute, time.Minute, time.Minute)
	rq.Final = true
	bo.Apply(rq, bookBegin.Add(time.Second))
	res := bo.Decide(bookBegin.Add(testWindow + leastWait))
	assert.Equal(t, len(res), 1)
	assert.DeepEqual(t, res[0].Counts, map[string]uint64{"ada": 1})
}

func TestBookNeverChangesADecision(t *testing.T) {
	bo := newBook()
	res := bo.Decide(bookBegin.Add(testWindow + mostWait))
	assert.Equal(t, len(res), 1)
	late := bo.Apply(push("a", 1, time.Minute, time.Minute, 50*time.Second), bookBegin.Add(testWindow+mostWait))
	assert.Equal(t, late, uint64(1))
	assert.Equal(t, len(bo.unsent()[0].Counts), 0)
}

func TestBookAfterALongTimeWithoutHolder(t *testing.T) {
	bo := newBook()
	res := bo.Decide(bookBegin.Add(time.Hour))
	assert.Equal(t, len(res), maxBehind-1, "the last windows still wait")
	assert.Assert(t, len(bo.record.Reports) <= keptReports+maxBehind)
}

func TestRecorder(t *testing.T) {
	now := time.Second
	re := &Recorder{SteadyFunc: func() time.Duration { return now }}
	first, second := re.Begin("ada"), re.Begin("bob")
	re.Begin("").End(true)
	now = 2 * time.Second
	second.End(false)
	third := re.Begin("ada")
	rq := re.push()
	assert.Equal(t, rq.Settled, time.Second, "the first is under way")
	assert.Equal(t, len(rq.Batches), 0)
	first.End(true)
	first.End(true)
	rq = re.push()
	assert.Equal(t, rq.Settled, 2*time.Second)
	assert.DeepEqual(t, rq.Batches, []Batch{{Number: 1, Starts: []Start{{At: time.Second, Customer: "ada"}}}})
	third.End(true)
	rq = re.push()
	assert.Equal(t, len(rq.Batches), 2, "the first is not known to last")
	re.lasting(1)
	assert.Equal(t, re.push().Batches[0].Number, uint64(2))
	now += batchLife + time.Second
	assert.Equal(t, len(re.push().Batches), 0)

	var none *Recorder
	none.Begin("ada").End(true)
}

// A decision that the service is not known to hold is nothing to send: the next holder
// would decide anew. Without this check no other test failed, as a write before each
// call guards the same.
func TestOnlyDecisionsThatLastAreSent(t *testing.T) {
	bo := newBook()
	re := bo.Decide(bookBegin.Add(testWindow + mostWait))[0]
	ho := &Collector{book: *bo, durable: Record{Next: re.Window}}
	_, ok := ho.next()
	assert.Assert(t, !ok)
	ho.durable.Next = re.Window + 1
	sent, ok := ho.next()
	assert.Assert(t, ok)
	assert.Equal(t, sent.Window, re.Window)
}
