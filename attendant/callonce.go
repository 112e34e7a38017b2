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

// callOnce runs a request that is not repeatable, unless its key came before.
//
// The key is looked up ahead of all other reasons to refuse: a repeat that is
// told "not run" for want of a place, though the first one ran, would be run
// again by its caller.
func (at *Attendant) callOnce(ctx context.Context, en *endpoint, ca call, req plainservice.Request) answer {
	ke, err := idempotency.ParseKey(ca.key)
	if err != nil {
		return answer{refusal: outcome.NewRefusal(outcome.BadRequest, ca.id, err.Error())}
	}
	de := en.once.Begin(time.Now(), idempotency.Request{
		Ask:      ca.ask,
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
	case !at.work.enter():
		en.once.Release(time.Now(), ke)
		return answer{refusal: leaving(ca.id)}
	}
	started := make(chan struct{})
	done := make(chan answer, 1)
	go func() {
		defer at.work.exit()
		done <- at.runOnce(ctx, en, ca, ke, req, started)
	}()
	select {
	case an := <-done:
		return an
	case <-ctx.Done():
	}
	// The caller is gone or its time is over. While the request waits it is
	// taken out of the queue, and done says so; once it runs, it goes on
	// without its caller and its answer is kept for a repeat.
	select {
	case an := <-done:
		return an
	case <-started:
		return answer{refusal: outcome.NewRefusal(outcome.DeadlineExceeded, ca.id, "deadline passed while the request ran")}
	}
}

// runOnce queues a request and runs it, and records what became of its key.
func (at *Attendant) runOnce(
	ctx context.Context, en *endpoint, ca call, ke idempotency.Key, req plainservice.Request, started chan<- struct{},
) answer {
	ti, err := en.enter(ctx, at.live(ca))
	if err != nil {
		en.once.Release(time.Now(), ke)
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
		en.once.Finish(time.Now(), ke, &an)
		return answer{Response: an}
	case notSent(err):
		en.once.Release(time.Now(), ke)
	default:
		en.once.MarkUnknown(time.Now(), ke)
	}
	return answer{refusal: en.refusalOf(ctx, ca.id, err)}
}

// digest returns the hash of what a key stands for.
func digest(req plainservice.Request) uint64 {
	di := xxhash.New()
	// A Digest's writes don't fail.
	_, _ = di.WriteString(req.Method + " " + req.Path + "\n")
	_, _ = di.Write(req.Body)
	return di.Sum64()
}
