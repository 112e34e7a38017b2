package call

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/outcome"
)

// recordCrash records whether an endpoint's process ended while it ran the call.
//
// Without it each retry of a call that crashes its endpoint would crash another one, until none is
// left for other callers.
func (ru *run) recordCrash(at *attempt, err error) {
	se, req := ru.server, ru.request
	now := time.Now()
	var re *outcome.Refusal
	switch {
	case err == nil:
		se.Quarantine.RecordSuccess(req.digest, now)
	case errors.As(err, &re) && re.EndpointEnded:
		// Per attempt, since the endpoint may restart under the same name.
		se.Quarantine.RecordCrash(req.digest, at.endpoint.ID+"/"+at.id, now)
		se.Log.WithFields(logrus.Fields{
			"digest": req.digest, "endpoint": at.endpoint.ID, "request-id": req.id, "service": req.policy.Service,
			"strikes": se.Quarantine.Check(req.digest, now).Strikes,
		}).Warn("endpoint's process ended during a call")
	}
}

// quarantineRefusal returns the refusal of a quarantined call, or nil.
func (ru *run) quarantineRefusal() *outcome.Refusal {
	ve := ru.server.Quarantine.Check(ru.request.digest, time.Now())
	if !ve.Held() {
		return nil
	}
	re := ru.request.refusal(outcome.Refused, "endpoints ended while they ran this call")
	re.RetryAfter = ve.HeldFor.Round(time.Second).String()
	return ru.correctOutcome(re)
}
