package attendant

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/engine"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/plainservice"
)

// httpStatus returns the HTTP status for a refusal's code.
func httpStatus(code outcome.Code) int {
	switch code {
	case outcome.BadRequest:
		return http.StatusBadRequest
	case outcome.DeadlineExceeded:
		return http.StatusGatewayTimeout
	case outcome.OutcomeUnknown:
		return http.StatusBadGateway
	case outcome.InProgress:
		return http.StatusConflict
	case outcome.NotHome:
		return http.StatusMisdirectedRequest
	case outcome.Overloaded:
		return http.StatusTooManyRequests
	case outcome.UnknownProfile:
		return http.StatusNotFound
	default:
		return http.StatusServiceUnavailable
	}
}

// refuse writes a refusal.
func (at *Attendant) refuse(rw http.ResponseWriter, en *endpoint, re *outcome.Refusal) {
	lo := at.options.Log.WithFields(logrus.Fields{
		"code":       re.Code,
		"fate":       re.Fate,
		"request-id": re.RequestID,
	})
	if en != nil {
		en.metrics.refusal(re)
		at.setHeader(rw.Header(), en)
		lo = lo.WithField("endpoint", en.name)
	}
	lo.Debug("refused: " + re.Message)
	he := rw.Header()
	he.Set("Content-Type", "application/json")
	he.Set(message.FateHeader, re.Fate)
	he.Set(message.RequestIDHeader, re.RequestID)
	he.Set(message.RevisionHeader, strconv.FormatUint(at.profiles.Revision(), 10))
	if wait := re.RetryDelay(); wait > 0 {
		he.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	rw.WriteHeader(httpStatus(re.Code))
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(rw).Encode(re)
}

// leaving returns the refusal of requests during shutdown.
func leaving(id string) *outcome.Refusal {
	return outcome.NewRefusal(outcome.Leaving, id, "the attendant is leaving")
}

// callRefusal returns the refusal of a live call that was sent to an endpoint and failed with err. It
// reports whether the endpoint's process has ended, since the call may be the reason.
func (en *endpoint) callRefusal(ctx context.Context, id string, err error) *outcome.Refusal {
	re := refusal(ctx, id, err)
	if errors.IsAny(err, plainservice.ErrBroken, engine.ErrBroken) {
		re.EndpointEnded = en.processEnded(ctx)
	}
	return re
}

// processEnded reports whether the endpoint's process has ended.
func (en *endpoint) processEnded(ctx context.Context) bool {
	switch {
	case en.plain != nil && en.plain.EndedFunc != nil:
		return en.plain.EndedFunc(ctx)
	case en.engine != nil && en.engine.EndedFunc != nil:
		return en.engine.EndedFunc(ctx)
	default:
		return false
	}
}

// refusal returns the refusal of a request that failed with err. Its outcome is not-run only if err
// proves that nothing was sent.
func refusal(ctx context.Context, id string, err error) *outcome.Refusal {
	var re *outcome.Refusal
	switch {
	case errors.As(err, &re):
		return re
	case notSent(err):
		return outcome.NewRefusal(outcome.Refused, id, err.Error())
	case ctx.Err() != nil:
		return outcome.NewRefusal(outcome.DeadlineExceeded, id, "given up while it ran: "+err.Error())
	default:
		return outcome.NewRefusal(outcome.OutcomeUnknown, id, err.Error())
	}
}
