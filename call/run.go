package call

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"

	"wisteriacroft/idempotency"
	"wisteriacroft/outcome"
	"wisteriacroft/retry"
	"wisteriacroft/route"
	"wisteriacroft/telemetry"
)

const (
	// noEndpointWait is the Retry-After time when no endpoint accepts requests.
	noEndpointWait = time.Second
	// queryBackoff is the first wait between two queries of a key.
	queryBackoff    = 20 * time.Millisecond
	maxQueryBackoff = time.Second
	// maxQueryFailures bounds consecutive queries without an answer.
	maxQueryFailures = 2
)

// errAttemptTimeout is the cancellation cause of an attempt that exceeds the profile's AttemptTimeout.
var errAttemptTimeout = errors.New("attempt took too long")

// A run is the attempts of one call.
type run struct {
	attempts   int
	last       error // error of the last attempt
	mayHaveRun bool  // an attempt may have run
	request    *request
	server     *Server
	tried      []string // endpoints tried
}

// runAttempts makes attempts until try succeeds or no further attempt is allowed. It returns the
// refusal for the caller, or nil.
func (ru *run) runAttempts(ctx context.Context, try func(context.Context, *attempt) error) *outcome.Refusal {
	bu := ru.server.budgetOf(ru.request.policy)
	bu.Deposit()
	for {
		if re := ru.quarantineRefusal(); re != nil {
			return re
		}
		at, re := ru.next()
		if re != nil {
			return re
		}
		err := ru.attempt(ctx, at, try)
		ru.recordCrash(at, err)
		if err != nil && ru.queryable(at, err) {
			err = ru.query(ctx, at, err, try)
		}
		if err == nil {
			return nil
		}
		ru.last = err
		ru.tried = append(ru.tried, at.endpoint.ID)
		ru.mayHaveRun = ru.mayHaveRun || outcomeOf(err) != outcome.NotRun
		wait, ok := ru.retryWait(ctx, bu, err)
		if !ok || !sleep(ctx, wait) {
			return ru.finalRefusal(ctx, err)
		}
	}
}

// next returns the next attempt, or a refusal if no endpoint is available.
func (ru *run) next() (*attempt, *outcome.Refusal) {
	ru.attempts++
	req := ru.request
	switch {
	case req.keyed:
		return ru.homeAttempt()
	case !req.repeatable && req.kind == Plain:
		return ru.mintedAttempt()
	}
	en, re := ru.pick()
	if re != nil {
		return nil, re
	}
	return newAttempt(req, en), nil
}

// homeAttempt returns an attempt at the home of the caller's key.
func (ru *run) homeAttempt() (*attempt, *outcome.Refusal) {
	req := ru.request
	home := req.key.Home(req.policy.Homes.Endpoints)
	en, ok := ru.server.Routes.Take(home)
	if !ok {
		re := req.refusal(outcome.NotHome, "the key's home is not known here")
		re.RetryAfter = noEndpointWait.String()
		return nil, re
	}
	at := newAttempt(req, en)
	at.key = req.key.String()
	return at, nil
}

// mintedAttempt returns an attempt with a new key. Only this attempt and its queries use the key,
// so it needs no home.
func (ru *run) mintedAttempt() (*attempt, *outcome.Refusal) {
	ke, err := idempotency.NewKey(time.Now())
	if err != nil {
		return nil, ru.request.refusal(outcome.Refused, err.Error())
	}
	en, re := ru.pick()
	if re != nil {
		return nil, re
	}
	at := newAttempt(ru.request, en)
	at.key = ke.String()
	at.minted = true
	return at, nil
}

// pick returns an endpoint that has not been tried.
func (ru *run) pick() (route.Endpoint, *outcome.Refusal) {
	req := ru.request
	need := route.Need{
		Exclude:       ru.tried,
		FailureDomain: req.policy.FailureDomain,
		Service:       req.policy.Service,
	}
	en, ok := ru.server.Routes.Pick(time.Now(), need)
	var re *outcome.Refusal
	refused := errors.As(ru.last, &re)
	if !ok && !refused {
		need.Exclude = nil // an endpoint whose connection failed is better than none
		en, ok = ru.server.Routes.Pick(time.Now(), need)
	}
	switch {
	case ok:
		return en, nil
	case refused:
		return en, ru.forwardRefusal(re)
	}
	re = req.refusal(outcome.Overloaded, "no endpoint takes work now")
	re.RetryAfter = noEndpointWait.String()
	return en, ru.correctOutcome(re)
}

// correctOutcome removes outcome not-run from a refusal if an attempt may have run.
func (ru *run) correctOutcome(re *outcome.Refusal) *outcome.Refusal {
	if ru.mayHaveRun {
		setOutcomeUnknown(re)
	}
	return re
}

// attempt makes one attempt within its timeout.
func (ru *run) attempt(ctx context.Context, at *attempt, try func(context.Context, *attempt) error) error {
	if bound := ru.request.policy.AttemptTimeout; bound > 0 && ru.request.repeatable {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, bound, errAttemptTimeout)
		defer cancel()
	}
	ctx, sp := telemetry.Start(ctx, "attempt",
		attribute.String("endpoint", at.endpoint.ID),
		attribute.String("request-id", at.id),
		attribute.Bool("ask", at.query))
	err := try(ctx, at)
	telemetry.End(sp, err)
	ru.server.settle(ctx, at, err)
	return err
}

// retryWait returns the wait before the next attempt, and whether one is allowed.
func (ru *run) retryWait(ctx context.Context, bu *retry.Budget, err error) (time.Duration, bool) {
	req := ru.request
	var re *outcome.Refusal
	if errors.As(err, &re) && (re.Code == outcome.BadRequest || req.keyed) {
		return 0, false // any endpoint would refuse it, or the key has no other home
	}
	if ctx.Err() != nil || endsCall(err) {
		return 0, false
	}
	return bu.Retry(time.Now(), retry.Attempt{
		Deadline:   req.deadline,
		Fate:       outcomeOf(err),
		Number:     ru.attempts,
		Repeatable: req.repeatable,
	})
}

// queryable reports whether the attendant can be queried for the outcome of an attempt whose
// connection failed.
func (ru *run) queryable(at *attempt, err error) bool {
	var re *outcome.Refusal
	if errors.As(err, &re) {
		return re.Code == outcome.InProgress && at.minted
	}
	return at.key != "" && outcomeOf(err) == outcome.Unknown
}

// query queries the attendant over new connections until the outcome of a key is known. It returns
// nil if it got the recorded answer.
//
// A request that is not repeatable must not be sent again after its connection breaks. Its
// attendant returns the recorded answer, reports that the request is running, or reports that it
// never arrived and bars it from running.
func (ru *run) query(ctx context.Context, at *attempt, err error, try func(context.Context, *attempt) error) error {
	backoff := queryBackoff
	for failures := 0; failures < maxQueryFailures && ctx.Err() == nil && !endsCall(err); {
		if !sleep(ctx, backoff) {
			break
		}
		backoff = min(2*backoff, maxQueryBackoff)
		en, ok := ru.server.Routes.Take(at.endpoint.ID)
		if !ok || en.Address != at.endpoint.Address {
			if ok {
				ru.server.Routes.Succeeded(time.Now(), en.ID)
			}
			break // the attendant has restarted elsewhere and has no state of the key
		}
		query := newAttempt(ru.request, en)
		query.query, query.key, query.minted = at.minted, at.key, at.minted
		answer := ru.attempt(ctx, query, try)
		var re *outcome.Refusal
		switch {
		case answer == nil:
			return nil
		case errors.As(answer, &re) && re.Code == outcome.InProgress:
			failures = 0
		case errors.As(answer, &re) && (concernsKey(re) || re.Outcome() == outcome.Unknown):
			return answer
		default:
			failures++
		}
	}
	return err
}

// concernsKey reports whether a refusal with outcome not-run is about the key and not only about the
// request: attendants return these codes after they have looked up the key.
func concernsKey(re *outcome.Refusal) bool {
	switch re.Code {
	case outcome.DeadlineExceeded, outcome.Leaving, outcome.Overloaded, outcome.Refused:
		return true
	default:
		return false
	}
}

// endsCall reports whether no further attempt may follow: part of the answer has been sent, or the
// caller has disconnected.
func endsCall(err error) bool {
	return errors.Is(err, errTruncated) || errors.Is(err, errCallerDisconnected)
}

// forwardRefusal returns an attendant's refusal as sent to the caller.
func (ru *run) forwardRefusal(re *outcome.Refusal) *outcome.Refusal {
	req := ru.request
	out := *re
	out.RequestID = req.id
	if req.keyed && !concernsKey(re) {
		setOutcomeUnknown(&out)
	}
	return ru.correctOutcome(&out)
}

// finalRefusal returns the refusal of a call after its last attempt.
func (ru *run) finalRefusal(ctx context.Context, err error) *outcome.Refusal {
	req := ru.request
	var re *outcome.Refusal
	switch {
	case errors.As(err, &re):
		return ru.forwardRefusal(re)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		re = req.refusal(outcome.DeadlineExceeded, "deadline passed: "+err.Error())
	case outcomeOf(err) == outcome.NotRun:
		re = req.refusal(outcome.Refused, err.Error())
		re.RetryAfter = noEndpointWait.String()
	default:
		re = req.refusal(outcome.OutcomeUnknown, err.Error())
	}
	if outcomeOf(err) == outcome.NotRun && !req.keyed {
		re.Fate = outcome.NotRun.String()
	}
	return ru.correctOutcome(re)
}

// sleep waits and reports whether ctx is still active.
func sleep(ctx context.Context, wait time.Duration) bool {
	ti := time.NewTimer(wait)
	defer ti.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-ti.C:
		return true
	}
}
