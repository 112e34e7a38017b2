package call

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/outcome"
)

// suspect notes whether an endpoint ended while it ran the call.
//
// The caller's next try is another call to an entry. Sent on like a new one, it
// ends one endpoint after the other until none is left for other callers.
func (ru *run) suspect(at *attempt, err error) {
	se, req := ru.server, ru.request
	now := time.Now()
	var re *outcome.Refusal
	switch {
	case err == nil:
		se.Quarantine.RecordSuccess(req.digest, now)
	case errors.As(err, &re) && re.EndpointEnded:
		// By the attempt, since the endpoint may start again under its name.
		se.Quarantine.RecordCrash(req.digest, at.endpoint.ID+"/"+at.id, now)
		se.Log.WithFields(logrus.Fields{
			"digest": req.digest, "endpoint": at.endpoint.ID, "request-id": req.id, "service": req.policy.Service,
			"strikes": se.Quarantine.Check(req.digest, now).Strikes,
		}).Warn("endpoint ended under a call")
	}
}

// heldBack returns the refusal of a call that must not be sent to an endpoint now,
// or nil.
func (ru *run) heldBack() *outcome.Refusal {
	ve := ru.server.Quarantine.Check(ru.request.digest, time.Now())
	if !ve.Held() {
		return nil
	}
	re := ru.request.refusal(outcome.Refused, "endpoints ended while they ran this call")
	re.RetryAfter = ve.HeldFor.Round(time.Second).String()
	return ru.truthful(re)
}
