package usage

import (
	"sync"
	"time"

	"wisteriacroft/leader"
)

// batchTTL is how long an unacknowledged batch is kept. Windows are reported within some ten seconds
// of their ends, and later starts are not counted.
const batchTTL = time.Minute

// A Recorder records the requests of an entry that endpoints start to run. A nil Recorder records
// nothing; the zero value is ready to use. It is safe for concurrent use.
type Recorder struct {
	// SteadyFunc is the monotonic clock; nil means leader.MonotonicClock.
	SteadyFunc func() time.Duration

	batches   []Batch // unacknowledged
	signal    chan struct{}
	mu        sync.Mutex
	lastRun   uint64 // number of the last run
	lastBatch uint64 // number of the last batch
	unsettled bool   // runs were pending at the last push
	runs      map[uint64]time.Duration
	starts    []Start // in no batch yet
}

// A Run is a request that was sent to an endpoint. The zero Run is not recorded.
type Run struct {
	at       time.Duration
	customer string
	number   uint64
	recorder *Recorder
}

// Begin records that a customer's request is sent to an endpoint now. Requests without a customer
// are not counted.
func (re *Recorder) Begin(customer string) Run {
	if re == nil || customer == "" {
		return Run{}
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.runs == nil {
		re.runs = map[uint64]time.Duration{}
	}
	re.lastRun++
	ru := Run{at: re.now(), customer: customer, number: re.lastRun, recorder: re}
	re.runs[ru.number] = ru.at
	return ru
}

// End records whether the endpoint started to run the request. Only the first call counts.
func (ru Run) End(began bool) {
	re := ru.recorder
	if re == nil {
		return
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	if _, ok := re.runs[ru.number]; !ok {
		return
	}
	delete(re.runs, ru.number)
	if began {
		re.starts = append(re.starts, Start{At: ru.at, Customer: ru.customer})
	}
	if began || re.unsettled {
		select {
		case re.signalChannel() <- struct{}{}:
		default:
		}
	}
}

// pushRequest returns the next push. Starts that are in no batch yet are added as a new one.
func (re *Recorder) pushRequest() PushRequest {
	re.mu.Lock()
	defer re.mu.Unlock()
	now := re.now()
	if len(re.starts) > 0 {
		re.lastBatch++
		re.batches = append(re.batches, Batch{Number: re.lastBatch, Starts: re.starts})
		re.starts = nil
	}
	for len(re.batches) > 0 && now-re.batches[0].Starts[0].At > batchTTL {
		re.batches = re.batches[1:]
	}
	settled := now
	for _, at := range re.runs {
		settled = min(settled, at)
	}
	re.unsettled = len(re.runs) > 0
	return PushRequest{Batches: re.batches, Now: now, Settled: settled}
}

// acknowledge removes the batches up to a number, which are saved.
func (re *Recorder) acknowledge(number uint64) {
	re.mu.Lock()
	defer re.mu.Unlock()
	for len(re.batches) > 0 && re.batches[0].Number <= number {
		re.batches = re.batches[1:]
	}
}

// changes returns a channel that is signaled when there is something to push.
func (re *Recorder) changes() <-chan struct{} {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.signalChannel()
}

func (re *Recorder) signalChannel() chan struct{} {
	if re.signal == nil {
		re.signal = make(chan struct{}, 1)
	}
	return re.signal
}

func (re *Recorder) now() time.Duration {
	if re.SteadyFunc == nil {
		return leader.MonotonicClock()
	}
	return re.SteadyFunc()
}
