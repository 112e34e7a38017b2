package keyvalue

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// minAway is the shortest time without an answer after which the service counts as away. A process that
// follows changes gets an answer every 0.8 s.
const minAway = time.Second

// An Outage is a time in which calls of this process failed and none was answered.
type Outage struct {
	Failure time.Time // last failed call
	From    time.Time // last answer before it, or the first call
	To      time.Time // first answer after it
}

// A contact tracks when the service answers the calls of a process, of whatever kind. The zero value is ready to use.
//
// A call that was sent before the return of the service gets no answer. If each caller went by its own calls, one would
// take the service for away for seconds after another part of the process has been answered.
type contact struct {
	mu         sync.Mutex
	answeredAt time.Time // last answer; before any, when the first call that failed was sent
	failedAt   time.Time // last failed call
	outage     Outage    // the last one
	recovery   Recovery
}

// record records the result of a call that was sent at a given time. A call that its caller canceled says nothing.
func (co *contact) record(ctx context.Context, sent time.Time, err error, now time.Time) {
	answered := err == nil || errors.IsAny(err, ErrConflict, ErrHistoryGone, ErrLeaseExpired, ErrNotFound)
	co.mu.Lock()
	defer co.mu.Unlock()
	switch {
	case answered && co.isAway(now):
		co.outage = Outage{Failure: co.failedAt, From: co.answeredAt, To: now}
		co.answeredAt = now
		co.recovery.Notify(sent)
	case answered:
		co.answeredAt = now
	case !errors.Is(ctx.Err(), context.Canceled):
		co.failedAt = now
		if co.answeredAt.IsZero() {
			co.answeredAt = sent
		}
	}
}

// isAway reports whether the service is away. The lock is held.
func (co *contact) isAway(now time.Time) bool {
	return co.failedAt.After(co.answeredAt) && now.Sub(co.answeredAt) >= minAway
}

// done records the result of a call that was sent at a given time, and returns its error with a description.
func (cl *Client) done(ctx context.Context, sent time.Time, err error, format string, args ...any) error {
	cl.contact.record(ctx, sent, err, time.Now())
	return errors.Wrapf(err, format, args...)
}

// Away reports whether no call of this process has been answered for a while, though some were made.
func (cl *Client) Away(now time.Time) bool {
	cl.contact.mu.Lock()
	defer cl.contact.mu.Unlock()
	return cl.contact.isAway(now)
}

// LastOutage returns the last outage that has ended, or a zero Outage.
func (cl *Client) LastOutage() Outage {
	cl.contact.mu.Lock()
	defer cl.contact.mu.Unlock()
	return cl.contact.outage
}

// Recovery returns the signal that the service answers calls of this process again.
func (cl *Client) Recovery() *Recovery { return &cl.contact.recovery }
