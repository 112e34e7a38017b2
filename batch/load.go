package batch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/blob"
	"wisteriacroft/lease"
	"wisteriacroft/message"
)

// lostAfter is how long a payload may be unreachable before it counts as lost. The addresses of
// replaced instances never answer.
const lostAfter = 30 * time.Second

// load fetches the requests of steps that a former owner accepted.
func (ow *Owner) load(now time.Time) {
	for _, tr := range ow.trainers {
		if ow.leaseState(tr, now) == lease.NotHeld {
			continue
		}
		for _, sp := range tr.steps {
			if sp.request == nil && sp.mayHaveOpenSlots() && !sp.loading && !sp.lost && !now.Before(sp.retryAt) {
				ow.fetch(tr, sp)
			}
		}
	}
}

// fetch reads a step's request from the data folders.
func (ow *Owner) fetch(tr *trainer, sp *step) {
	sp.loading = true
	ow.spawn(func(ctx context.Context) {
		data, err := ow.FetchFunc(ctx, sp.places, sp.digest)
		var req message.StepRequest
		if err == nil {
			err = json.Unmarshal(data, &req)
		}
		ow.locked(func() { ow.fetched(tr, sp, &req, err) })
	})
}

// fetched processes the result of fetch. The refusal of the trainer's next pull asks for a lost
// request.
func (ow *Owner) fetched(tr *trainer, sp *step, req *message.StepRequest, err error) {
	sp.loading = false
	now := time.Now()
	switch {
	case sp.request != nil:
		return // submitted again in the meantime
	case err == nil && count(req) == sp.samples:
		sp.setRequest(req)
	case err == nil || errors.Is(err, blob.ErrMissing) || unreachableTooLong(&sp.unreachable, now):
		sp.lost = true
		ow.log(tr).WithError(err).WithField("step", sp.number).Error("request of the step is lost")
	default:
		sp.retryAt = now.Add(ledgerBackoff)
	}
	tr.notify()
}

// unreachableTooLong reports whether something has been unreachable for lostAfter. It sets a zero
// since to now.
func unreachableTooLong(since *time.Time, now time.Time) bool {
	if since.IsZero() {
		*since = now
	}
	return now.Sub(*since) >= lostAfter
}

// count returns the number of samples that a request asks for.
func count(req *message.StepRequest) int {
	samples := 0
	for _, gr := range req.Groups {
		samples += gr.Members
	}
	return samples
}
