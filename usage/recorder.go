package usage

import (
	"sync"
	"time"

	"wisteriacroft/leader"
)

// batchLife is for how long a batch is kept that is not known to last. Windows are
// reported within some ten seconds of their ends; what comes later counts nowhere.
const batchLife = time.Minute

// A Recorder notes what an entry's endpoints begin to run. Nil notes nothing. The zero
// Recorder is ready to use.
type Recorder struct {
	// SteadyFunc is the entry's steady clock; nil stands for leader.MonotonicClock.
	SteadyFunc func() time.Duration

	batches []Batch // that are not known to last
	kick    chan struct{}
	mu      sync.Mutex
	next    uint64 // number of the run begun last
	number  uint64 // of the batch made last
	owing   bool   // a push was made while runs were under way
	runs    map[uint64]time.Duration
	starts  []Start // in no batch yet
}

// A Run is one request on its way to an endpoint. The zero Run is noted nowhere.
type Run struct {
	at       time.Duration
	customer string
	number   uint64
	recorder *Recorder
}

// Begin notes that a customer's request goes to an endpoint now. Requests of no
// customer are not counted.
func (re *Recorder) Begin(customer string) Run {
	if re == nil || customer == "" {
		return Run{}
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.runs == nil {
		re.runs = map[uint64]time.Duration{}
	}
	re.next++
	ru := Run{at: re.steady(), customer: customer, number: re.next, recorder: re}
	re.runs[ru.number] = ru.at
	return ru
}

// End notes whether the endpoint began to run the request. Only the first End counts.
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
	if began || re.owing {
		select {
		case re.kicks() <- struct{}{}:
		default:
		}
	}
}

// push returns what is to be pushed now. Starts that no batch holds make a new one.
func (re *Recorder) push() PushRequest {
	re.mu.Lock()
	defer re.mu.Unlock()
	now := re.steady()
	if len(re.starts) > 0 {
		re.number++
		re.batches = append(re.batches, Batch{Number: re.number, Starts: re.starts})
		re.starts = nil
	}
	for len(re.batches) > 0 && now-re.batches[0].Starts[0].At > batchLife {
		re.batches = re.batches[1:]
	}
	settled := now
	for _, at := range re.runs {
		settled = min(settled, at)
	}
	re.owing = len(re.runs) > 0
	return PushRequest{Batches: re.batches, Now: now, Settled: settled}
}

// lasting takes in that batches last.
func (re *Recorder) lasting(number uint64) {
	re.mu.Lock()
	defer re.mu.Unlock()
	for len(re.batches) > 0 && re.batches[0].Number <= number {
		re.batches = re.batches[1:]
	}
}

// changes returns a channel that tells that there is something to push.
func (re *Recorder) changes() <-chan struct{} {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.kicks()
}

func (re *Recorder) kicks() chan struct{} {
	if re.kick == nil {
		re.kick = make(chan struct{}, 1)
	}
	return re.kick
}

func (re *Recorder) steady() time.Duration {
	if re.SteadyFunc == nil {
		return leader.MonotonicClock()
	}
	return re.SteadyFunc()
}
