package usage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var windowStart = WindowOf(time.Unix(1_000_000, 0), testWindow).End(testWindow) // the start of a window

func newAggregator() *Aggregator {
	ag := &Aggregator{Size: testWindow}
	ag.load(Record{})
	ag.Decide(windowStart)
	return ag
}

// push returns an entry's push at a monotonic time, with starts of ada.
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

func TestAggregatorWindowOfStart(t *testing.T) {
	ag := newAggregator()
	first := WindowOf(windowStart, testWindow)
	// Pushed 6 s into the window: one start is 5.9 s ago, one 0.5 s ago.
	late := ag.Apply(push("a", 1, 100*time.Second, 100*time.Second, 94100*time.Millisecond, 99500*time.Millisecond), windowStart.Add(6*time.Second))
	assert.Equal(t, late, uint64(0))
	assert.Equal(t, ag.record.Open[first]["ada"], uint64(1))
	assert.Equal(t, ag.record.Open[first+1]["ada"], uint64(1))
	ag.Apply(push("a", 1, 101*time.Second, 101*time.Second, 94100*time.Millisecond), windowStart.Add(7*time.Second))
	assert.Equal(t, ag.record.Open[first]["ada"], uint64(1), "a batch is counted once")
}

func TestAggregatorWaitsForEntries(t *testing.T) {
	end := windowStart.Add(testWindow)
	cases := []struct {
		name    string
		settled time.Duration // of the second entry, before its push 100 ms after the end
		over    time.Duration
		decided bool
	}{
		{"all settled", 0, minWait, true},
		{"too early", 0, minWait - time.Millisecond, false},
		{"pending request", 300 * time.Millisecond, minWait, false},
		{"pending request after the maximum wait", 300 * time.Millisecond, maxWait, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ag := newAggregator()
			at := end.Add(100 * time.Millisecond)
			ag.Apply(push("a", 1, time.Minute, time.Minute), at)
			ag.Apply(push("b", 1, time.Minute, time.Minute-tc.settled), at)
			res := ag.Decide(end.Add(tc.over))
			assert.Equal(t, len(res) > 0, tc.decided)
		})
	}
}

func TestAggregatorFinalPush(t *testing.T) {
	ag := newAggregator()
	rq := push("a", 1, time.Minute, time.Minute, time.Minute)
	rq.Final = true
	ag.Apply(rq, windowStart.Add(time.Second))
	res := ag.Decide(windowStart.Add(testWindow + minWait))
	assert.Equal(t, len(res), 1)
	assert.DeepEqual(t, res[0].Counts, map[string]uint64{"ada": 1})
}

func TestAggregatorReportIsFinal(t *testing.T) {
	ag := newAggregator()
	res := ag.Decide(windowStart.Add(testWindow + maxWait))
	assert.Equal(t, len(res), 1)
	late := ag.Apply(push("a", 1, time.Minute, time.Minute, 50*time.Second), windowStart.Add(testWindow+maxWait))
	assert.Equal(t, late, uint64(1))
	assert.Equal(t, len(ag.unsent()[0].Counts), 0)
}

func TestAggregatorBacklog(t *testing.T) {
	ag := newAggregator()
	res := ag.Decide(windowStart.Add(time.Hour))
	assert.Equal(t, len(res), maxBacklog-1, "the last windows still wait")
	assert.Assert(t, len(ag.record.Reports) <= retainedReports+maxBacklog)
}

func TestRecorder(t *testing.T) {
	now := time.Second
	re := &Recorder{SteadyFunc: func() time.Duration { return now }}
	first, second := re.Begin("ada"), re.Begin("bob")
	re.Begin("").End(true)
	now = 2 * time.Second
	second.End(false)
	third := re.Begin("ada")
	rq := re.pushRequest()
	assert.Equal(t, rq.Settled, time.Second, "the first is pending")
	assert.Equal(t, len(rq.Batches), 0)
	first.End(true)
	first.End(true)
	rq = re.pushRequest()
	assert.Equal(t, rq.Settled, 2*time.Second)
	assert.DeepEqual(t, rq.Batches, []Batch{{Number: 1, Starts: []Start{{At: time.Second, Customer: "ada"}}}})
	third.End(true)
	rq = re.pushRequest()
	assert.Equal(t, len(rq.Batches), 2, "the first is unacknowledged")
	re.acknowledge(1)
	assert.Equal(t, re.pushRequest().Batches[0].Number, uint64(2))
	now += batchTTL + time.Second
	assert.Equal(t, len(re.pushRequest().Batches), 0)

	var none *Recorder
	none.Begin("ada").End(true)
}

// Guards against sending a report that is not known to be saved, as the next holder may create
// another one.
func TestOnlySavedReportsAreSent(t *testing.T) {
	ag := newAggregator()
	re := ag.Decide(windowStart.Add(testWindow + maxWait))[0]
	co := &Collector{aggregator: *ag, durable: Record{Next: re.Window}}
	_, ok := co.nextReport()
	assert.Assert(t, !ok)
	co.durable.Next = re.Window + 1
	sent, ok := co.nextReport()
	assert.Assert(t, ok)
	assert.Equal(t, sent.Window, re.Window)
}
