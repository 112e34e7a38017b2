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
	// noEndpointWait is when to come back if no endpoint takes work.
	noEndpointWait = time.Second
	// askBackoff is the first wait between two questions for a key.
	askBackoff    = 20 * time.Millisecond
	maxAskBackoff = time.Second
	// maxAskFailures bounds the questions in a row that get no answer.
	maxAskFailures = 2
)

// errSlow means that an attempt took longer than the profile gives it.
var errSlow = errors.New("attempt took too long")

// A run is the attempts at one call.
type run struct {
	attempts int
	last     error // of the last attempt
	maybe    bool  // an attempt may have run
	request  *request
	server   *Server
	tried    []string // endpoints
}

// each makes attempts until try succeeds or nothing more may be tried. It
// returns the refusal for the caller, or nil.
func (ru *run) each(ctx context.Context, try func(context.Context, *attempt) error) *outcome.Refusal {
	bu := ru.server.budgetOf(ru.request.policy)
	bu.Deposit()
	for {
		if re := ru.heldBack(); re != nil {
			return re
		}
		at, re := ru.next()
		if re != nil {
			return re
		}
		err := ru.attempt(ctx, at, try)
		ru.suspect(at, err)
		if err != nil && ru.askable(at, err) {
			err = ru.ask(ctx, at, err, try)
		}
		if err == nil {
			return nil
		}
		ru.last = err
		ru.tried = append(ru.tried, at.endpoint.ID)
		ru.maybe = ru.maybe || fateOf(err) != outcome.NotRun
		wait, ok := ru.again(ctx, bu, err)
		if !ok || !sleep(ctx, wait) {
			return ru.final(ctx, err)
		}
	}
}

// next returns the next attempt, or a refusal if no endpoint takes it.
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

// mintedAttempt returns an attempt with a key of its own. Only this attempt
// and the questions for it ever carry the key, so it needs no home.
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

// pick returns an endpoint that was not tried yet.
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
		need.Exclude = nil // rather one whose connection failed than none
		en, ok = ru.server.Routes.Pick(time.Now(), need)
	}
	switch {
	case ok:
		return en, nil
	case refused:
		return en, ru.passOnRefusal(re)
	}
	re = req.refusal(outcome.Overloaded, "no endpoint takes work now")
	re.RetryAfter = noEndpointWait.String()
	return en, ru.truthful(re)
}

// truthful takes not-run out of a refusal if an attempt may have run.
func (ru *run) truthful(re *outcome.Refusal) *outcome.Refusal {
	if ru.maybe {
		claimNothing(re)
	}
	return re
}

// attempt makes one attempt, within its timeout.
func (ru *run) attempt(ctx context.Context, at *attempt, try func(context.Context, *attempt) error) error {
	if bound := ru.request.policy.AttemptTimeout; bound > 0 && ru.request.repeatable {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, bound, errSlow)
		defer cancel()
	}
	ctx, sp := telemetry.Start(ctx, "attempt",
		attribute.String("endpoint", at.endpoint.ID),
		attribute.String("request-id", at.id),
		attribute.Bool("ask", at.ask))
	err := try(ctx, at)
	telemetry.End(sp, err)
	ru.server.settle(ctx, at, err)
	return err
}

// again returns how long to wait before another attempt, and whether there may
// be one.
func (ru *run) again(ctx context.Context, bu *retry.Budget, err error) (time.Duration, bool) {
	req := ru.request
	var re *outcome.Refusal
	if errors.As(err, &re) && (re.Code == outcome.BadRequest || req.keyed) {
		return 0, false // the same everywhere, or there is nowhere else to go
	}
	if ctx.Err() != nil || over(err) {
		return 0, false
	}
	return bu.Retry(time.Now(), retry.Attempt{
		Deadline:   req.deadline,
		Fate:       fateOf(err),
		Number:     ru.attempts,
		Repeatable: req.repeatable,
	})
}

// askable reports whether the endpoint's attendant can be asked what became of
// an attempt whose connection failed.
func (ru *run) askable(at *attempt, err error) bool {
	var re *outcome.Refusal
	if errors.As(err, &re) {
		return re.Code == outcome.InProgress && at.minted
	}
	return at.key != "" && fateOf(err) == outcome.Unknown
}

// ask asks on new connections what became of a key until its attendant knows,
// and returns nil if it got the recorded answer.
//
// A request that is not repeatable must not be sent again when its connection
// breaks, though most of them ran, or will run, and their answers are there.
// Its attendant knows: it hands the answer out again, says that the request
// runs, or that it never came and now won't run.
func (ru *run) ask(ctx context.Context, at *attempt, err error, try func(context.Context, *attempt) error) error {
	backoff := askBackoff
	for failures := 0; failures < maxAskFailures && ctx.Err() == nil && !over(err); {
		if !sleep(ctx, backoff) {
			break
		}
		backoff = min(2*backoff, maxAskBackoff)
		en, ok := ru.server.Routes.Take(at.endpoint.ID)
		if !ok || en.Address != at.endpoint.Address {
			if ok {
				ru.server.Routes.Succeeded(time.Now(), en.ID)
			}
			break // another process, which knows nothing of the key
		}
		question := newAttempt(ru.request, en)
		question.ask, question.key, question.minted = at.minted, at.key, at.minted
		answer := ru.attempt(ctx, question, try)
		var re *outcome.Refusal
		switch {
		case answer == nil:
			return nil
		case errors.As(answer, &re) && re.Code == outcome.InProgress:
			failures = 0
		case errors.As(answer, &re) && (knows(re) || re.Outcome() == outcome.Unknown):
			return answer
		default:
			failures++
		}
	}
	return err
}

// knows reports whether a refusal that says not-run speaks of the key, and not
// only of the request that carried it: such codes come after the attendant
// has looked the key up.
func knows(re *outcome.Refusal) bool {
	switch re.Code {
	case outcome.DeadlineExceeded, outcome.Leaving, outcome.Overloaded, outcome.Refused:
		return true
	default:
		return false
	}
}

// over reports whether no other attempt may follow, whatever the fate: part of
// the answer is out, or nobody waits for it.
func over(err error) bool {
	return errors.Is(err, errTooLate) || errors.Is(err, errCallerGone)
}

// passOnRefusal returns an attendant's refusal in the form for the caller.
func (ru *run) passOnRefusal(re *outcome.Refusal) *outcome.Refusal {
	req := ru.request
	out := *re
	out.RequestID = req.id
	if req.keyed && !knows(re) {
		claimNothing(&out)
	}
	return ru.truthful(&out)
}

// final returns the refusal of a call that is given up.
func (ru *run) final(ctx context.Context, err error) *outcome.Refusal {
	req := ru.request
	var re *outcome.Refusal
	switch {
	case errors.As(err, &re):
		return ru.passOnRefusal(re)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		re = req.refusal(outcome.DeadlineExceeded, "deadline passed: "+err.Error())
	case fateOf(err) == outcome.NotRun:
		re = req.refusal(outcome.Refused, err.Error())
		re.RetryAfter = noEndpointWait.String()
	default:
		re = req.refusal(outcome.OutcomeUnknown, err.Error())
	}
	if fateOf(err) == outcome.NotRun && !req.keyed {
		re.Fate = outcome.NotRun.String()
	}
	return ru.truthful(re)
}

// sleep waits and reports whether ctx lasted.
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
