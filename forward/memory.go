package forward

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/admission"
)

// errMemoryLimit means that the memory limit leaves no room for a body.
var errMemoryLimit = errors.New("memory limit for requests and responses reached")

// memoryRetry is the Retry-After of requests rejected for lack of memory: about the time that callers
// need to read a response.
const memoryRetry = 200 * time.Millisecond

// A memory counts the bytes of bodies and responses that a forwarder holds. The zero memory does not
// limit. It is safe for concurrent use.
type memory struct {
	held admission.MemoryBudget
	mu   sync.Mutex
}

// admit reports whether a customer's body must be counted as a whole before it is read. It returns
// errMemoryLimit if the body does not fit now, or a *http.MaxBytesError if it exceeds the limit by
// itself.
func (me *memory) admit(customer string, size int64) (reserve bool, err error) {
	me.mu.Lock()
	defer me.mu.Unlock()
	if err := me.check(customer, 0, size); err != nil {
		return false, err
	}
	return me.held.ReservesWhole(size), nil
}

// addIfFits counts more bytes of a customer's body, of which taken bytes are counted already, if they
// fit. It returns the same errors as admit.
func (me *memory) addIfFits(customer string, taken, bytes int64) error {
	me.mu.Lock()
	defer me.mu.Unlock()
	if err := me.check(customer, taken, bytes); err != nil {
		return err
	}
	me.held.Add(customer, bytes)
	return nil
}

// addAnswer counts more bytes of the response to a request, of which taken bytes are counted already, and reports whether it
// may be that large. A response may exceed the limit only if nothing is held for other requests.
func (me *memory) addAnswer(rq *request, taken, bytes int64) bool {
	me.mu.Lock()
	defer me.mu.Unlock()
	others, bound := me.held.Total()-taken-int64(len(rq.body)), me.held.Bound()
	if taken+bytes > freeAnswerSize && bound > 0 && others > 0 && others+taken+bytes > bound {
		return false
	}
	me.held.Add(rq.customer, bytes)
	return true
}

// check returns an error if more bytes of a body do not fit. The caller holds the lock.
func (me *memory) check(customer string, taken, bytes int64) error {
	switch {
	case me.held.TooLarge(taken + bytes):
		return &http.MaxBytesError{Limit: me.held.Bound()}
	case !me.held.Fits(customer, taken, bytes):
		return errMemoryLimit
	default:
		return nil
	}
}

// add counts bytes whether or not they fit; a negative number releases bytes.
func (me *memory) add(customer string, bytes int64) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.held.Add(customer, bytes)
}

// rejection returns the rejection of a request for lack of memory.
func (me *memory) rejection(customer string) *rejection {
	me.mu.Lock()
	defer me.mu.Unlock()
	most, bytes := me.held.Largest()
	return &rejection{
		customer: customer, reason: string(admission.NoMemory), retryAfter: memoryRetry, status: http.StatusServiceUnavailable,
		fields: logrus.Fields{customerField: customer, "held": me.held.Total(), "most": bytes, "most-customer": most},
	}
}

// SetMemory limits the bytes of bodies and responses held for callers; 0 means no limit.
func (fo *Forwarder) SetMemory(bound int64) {
	fo.memory.mu.Lock()
	defer fo.memory.mu.Unlock()
	fo.memory.held.SetBound(bound)
}

// Held returns the bytes held for callers, the customer with the most of them, and its bytes.
func (fo *Forwarder) Held() (total int64, customer string, most int64) {
	fo.memory.mu.Lock()
	defer fo.memory.mu.Unlock()
	customer, most = fo.memory.held.Largest()
	return fo.memory.held.Total(), customer, most
}

// countResponse counts a response as held until releaseMemory.
func (fo *Forwarder) countResponse(rq *request, re *result) {
	rq.heldBytes += int64(len(re.body))
	fo.memory.add(rq.customer, int64(len(re.body)))
}

// releaseMemory releases all bytes held for a request.
func (fo *Forwarder) releaseMemory(rq *request) {
	fo.memory.add(rq.customer, -rq.heldBytes)
	rq.heldBytes = 0
}
