package forward

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/admission"
)

// errNoMemory means that too much is held for callers to take in a body.
var errNoMemory = errors.New("too much is held for callers")

// memoryRetry is when a caller may come back for whose request no memory was left:
// about what callers need to read an answer.
const memoryRetry = 200 * time.Millisecond

// A memory counts what a forwarder holds for callers. The zero memory bounds nothing.
type memory struct {
	held admission.MemoryBudget
	mu   sync.Mutex
}

// admits reports whether a body of a customer's is to be taken whole before it is read.
// Its error is errNoMemory if it doesn't fit now, or a *http.MaxBytesError if it fits at no
// time.
func (me *memory) admits(customer string, size int64) (reserve bool, err error) {
	me.mu.Lock()
	defer me.mu.Unlock()
	if err := me.check(customer, 0, size); err != nil {
		return false, err
	}
	return me.held.ReservesWhole(size), nil
}

// take counts bytes more of a customer's body if they fit. Taken are those of it that were
// counted before. Its error is as admits's.
func (me *memory) take(customer string, taken, bytes int64) error {
	me.mu.Lock()
	defer me.mu.Unlock()
	if err := me.check(customer, taken, bytes); err != nil {
		return err
	}
	me.held.Add(customer, bytes)
	return nil
}

// check returns why bytes more of a body don't fit. The lock is held.
func (me *memory) check(customer string, taken, bytes int64) error {
	switch {
	case me.held.TooLarge(taken + bytes):
		return &http.MaxBytesError{Limit: me.held.Bound()}
	case !me.held.Fits(customer, taken, bytes):
		return errNoMemory
	default:
		return nil
	}
}

// add counts bytes whether they fit or not. A negative number ends what was counted.
func (me *memory) add(customer string, bytes int64) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.held.Add(customer, bytes)
}

// rejection returns what a request gets for which no memory is left.
func (me *memory) rejection(customer string) *rejection {
	me.mu.Lock()
	defer me.mu.Unlock()
	most, bytes := me.held.Largest()
	return &rejection{
		customer: customer, reason: string(admission.NoMemory), retryAfter: memoryRetry, status: http.StatusServiceUnavailable,
		inputs: logrus.Fields{customerField: customer, "held": me.held.Total(), "most": bytes, "most-customer": most},
	}
}

// SetMemory bounds what is held for callers; 0 bounds nothing.
func (fo *Forwarder) SetMemory(bound int64) {
	fo.memory.mu.Lock()
	defer fo.memory.mu.Unlock()
	fo.memory.held.SetBound(bound)
}

// Held returns how many bytes are held for callers, and how many of them for the
// customer with most.
func (fo *Forwarder) Held() (total int64, customer string, most int64) {
	fo.memory.mu.Lock()
	defer fo.memory.mu.Unlock()
	customer, most = fo.memory.held.Largest()
	return fo.memory.held.Total(), customer, most
}

// holdAnswer counts an answer as held for its caller until releaseMemory.
func (fo *Forwarder) holdAnswer(rq *request, re *result) {
	rq.heldBytes += int64(len(re.body))
	fo.memory.add(rq.customer, int64(len(re.body)))
}

// releaseMemory ends what is held for a request.
func (fo *Forwarder) releaseMemory(rq *request) {
	fo.memory.add(rq.customer, -rq.heldBytes)
	rq.heldBytes = 0
}
