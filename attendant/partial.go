package attendant

import (
	"sync"
	"time"

	"wisteriacroft/engine"
	"wisteriacroft/message"
)

// A PartialRequest asks for the tokens that an attempt has made so far.
type PartialRequest struct {
	Attempt string
	Cache   bool // whether the exported KV cache is wanted too
}

// A PartialResponse holds the tokens of an attempt, each attributed.
type PartialResponse struct {
	Cache   *engine.CacheSnapshot
	Found   bool // whether there are tokens to resume
	Payload message.Payload
}

// A partial is an attempt whose tokens can be asked for.
type partial struct {
	attempt  *attempt
	endedAt  time.Time // zero while the attempt runs
	endpoint *endpoint
}

// A partialTable holds the attempts that run and, within bounds, those that
// ended without a whole answer.
type partialTable struct {
	maxAge    time.Duration
	maxTokens int

	mu    sync.Mutex
	ended []*partial // oldest first
	rows  map[string]*partial
}

// start adds a running attempt, or returns nil if one of its id runs already.
func (pt *partialTable) start(en *endpoint, at *attempt) *partial {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	if pt.rows == nil {
		pt.rows = make(map[string]*partial)
	}
	if pa := pt.rows[at.id()]; pa != nil && pa.endedAt.IsZero() {
		return nil
	}
	pa := &partial{attempt: at, endpoint: en}
	pt.rows[at.id()] = pa
	return pa
}

// finish ends an attempt. One that failed is kept so that it can be resumed.
func (pt *partialTable) finish(pa *partial, keep bool, now time.Time) {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	count, _ := pa.attempt.progress()
	if !keep || count == 0 {
		pt.remove(pa)
		return
	}
	pa.endedAt = now
	pt.ended = append(pt.ended, pa)
	pt.trim(now)
}

// get returns the attempt of an id, or nil.
func (pt *partialTable) get(id string) *partial {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	return pt.rows[id]
}

// Run forgets what is too old. It is a system of the attendant's loop.
func (pt *partialTable) Run(now time.Time) {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	pt.trim(now)
}

// trim forgets the oldest ended attempts until the rest is within the bounds.
// Without it, attempts that nobody resumes would fill the instance's memory.
func (pt *partialTable) trim(now time.Time) {
	sum := 0
	for _, pa := range pt.ended {
		count, _ := pa.attempt.progress()
		sum += count
	}
	for len(pt.ended) > 0 {
		pa := pt.ended[0]
		if sum <= pt.maxTokens && now.Sub(pa.endedAt) < pt.maxAge {
			return
		}
		count, _ := pa.attempt.progress()
		sum -= count
		pt.ended = pt.ended[1:]
		pt.remove(pa)
	}
}

// remove drops pa, unless another attempt took its id.
func (pt *partialTable) remove(pa *partial) {
	if pt.rows[pa.attempt.id()] == pa {
		delete(pt.rows, pa.attempt.id())
	}
}
