package attendant

import (
	"sync"
	"time"

	"wisteriacroft/engine"
	"wisteriacroft/message"
)

// A PartialRequest requests the tokens that an attempt has generated so far.
type PartialRequest struct {
	Attempt string
	Cache   bool // also return the KV cache
}

// A PartialResponse holds the tokens of an attempt with their versions.
type PartialResponse struct {
	Cache   *engine.CacheSnapshot
	Found   bool // whether there are tokens to resume
	Payload message.Payload
}

// A partial is an attempt whose tokens can be requested.
type partial struct {
	attempt  *attempt
	endedAt  time.Time // zero while the attempt runs
	endpoint *endpoint
}

// A partialTable holds the running attempts and, within bounds, those that ended without a whole
// answer.
type partialTable struct {
	maxAge    time.Duration
	maxTokens int

	mu    sync.Mutex
	ended []*partial // oldest first
	rows  map[string]*partial
}

// start adds a running attempt, or returns nil if an attempt with the same id is running.
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

// finish ends an attempt and keeps its tokens for resumption if keep is set.
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

// get returns the attempt with an id, or nil.
func (pt *partialTable) get(id string) *partial {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	return pt.rows[id]
}

// Run drops expired attempts. It is a system.
func (pt *partialTable) Run(now time.Time) {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	pt.trim(now)
}

// trim drops the oldest ended attempts until the rest is within the bounds of age and memory.
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

// remove deletes pa, unless another attempt has replaced it under its id.
func (pt *partialTable) remove(pa *partial) {
	if pt.rows[pa.attempt.id()] == pa {
		delete(pt.rows, pa.attempt.id())
	}
}
