package attendant

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriacroft/gate"
	"wisteriacroft/idempotency"
	"wisteriacroft/outcome"
	"wisteriacroft/plainservice"
)

// callOnce runs a request that is not repeatable unless its key has been received before.
//
// The key is checked before anything else that may refuse the request: otherwise a repeat could be
// refused as not run although the first request ran, and its caller would run it again.
func (at *Attendant) callOnce(ctx context.Context, en *endpoint, ca call, req plainservice.Request) answer {
	ke, err := idempotency.ParseKey(ca.key)
	if err != nil {
		return answer{refusal: outcome.NewRefusal(outcome.BadRequest, ca.id, err.Error())}
	}
	de := en.keys.Begin(time.Now(), idempotency.Request{
		Ask:      ca.query,
		Digest:   digest(req),
		ID:       ca.id,
		Key:      ke,
		Minted:   ca.minted,
		Revision: ca.revision,
	})
	switch {
	case de.Refusal != nil:
		return answer{refusal: de.Refusal}
	case de.Answer != nil:
		return answer{Response: *de.Answer}
	case !at.inflight.enter():
		en.keys.Release(time.Now(), ke)
		return answer{refusal: leaving(ca.id)}
	}
	started := make(chan struct{})
	done := make(chan answer, 1)
	go func() {
		defer at.inflight.exit()
		done <- at.runOnce(ctx, en, ca, ke, req, started)
	}()
	select {
	case an := <-done:
		return an
	case <-ctx.Done():
	}
	// The caller has disconnected or its deadline has passed. A waiting request leaves the queue,
	// and done receives its refusal. A running one continues, and its answer is recorded for a
	// repeat.
	select {
	case an := <-done:
		return an
	case <-started:
		return answer{refusal: outcome.NewRefusal(outcome.DeadlineExceeded, ca.id, "deadline passed while the request ran")}
	}
}

// runOnce queues and runs a request and records the outcome of its key.
func (at *Attendant) runOnce(
	ctx context.Context, en *endpoint, ca call, ke idempotency.Key, req plainservice.Request, started chan<- struct{},
) answer {
	ti, err := en.admit(ctx, at.liveRequest(ca))
	if err != nil {
		en.keys.Release(time.Now(), ke)
		return answer{refusal: refusal(ctx, ca.id, err)}
	}
	ti.Started()
	close(started)
	ctx, cancel := gate.WorkContext(ctx, false)
	defer cancel()
	ctx, cancel = context.WithTimeout(ctx, at.options.RunBound)
	defer cancel()
	ctx, lose := context.WithCancelCause(ctx)
	defer lose(nil)
	ex := en.executions.begin(time.Now(), lose)
	an, err := at.exchange(ctx, en, req)
	en.executions.end(ex)
	ti.Release(gateResult(ctx, err))
	switch {
	case err == nil:
		en.keys.Finish(time.Now(), ke, &an)
		return answer{Response: an}
	case notSent(err):
		en.keys.Release(time.Now(), ke)
	default:
		en.keys.MarkUnknown(time.Now(), ke)
	}
	return answer{refusal: en.callRefusal(ctx, ca.id, err)}
}

// digest returns a hash of the request, to detect a key reused for another one.
func digest(req plainservice.Request) uint64 {
	di := xxhash.New()
	// Writes to a Digest can't fail.
	_, _ = di.WriteString(req.Method + " " + req.Path + "\n")
	_, _ = di.Write(req.Body)
	return di.Sum64()
}
