package attendant

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"wisteriacroft/blob"
	"wisteriacroft/engine"
	"wisteriacroft/gate"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
)

// Bounds of the backoff for storing a payload.
const (
	storeBackoff    = 200 * time.Millisecond
	storeBackoffMax = 5 * time.Second
)

// serveSample runs one attempt at a slot. The answer is JSON lines: progress while the attempt
// waits and runs, then its result or a refusal.
func (at *Attendant) serveSample(rw http.ResponseWriter, rq *http.Request) {
	en := at.endpoint(mux.Vars(rq)["endpoint"])
	var req message.SampleRequest
	if err := at.decode(rw, rq, &req); err != nil {
		at.refuse(rw, en, outcome.NewRefusal(outcome.BadRequest, req.Attempt, err.Error()))
		return
	}
	left, err := checkSample(en, req)
	if err != nil {
		at.refuse(rw, en, outcome.NewRefusal(outcome.BadRequest, req.Attempt, err.Error()))
		return
	}
	ctx, cancel := context.WithTimeout(rq.Context(), left)
	defer cancel()
	at.setHeader(rw.Header(), en)
	li := newLines[message.SampleEvent](rw)
	atm := newAttempt(req)
	beat := func() {
		count, ve := atm.progress()
		if li.write(message.SampleEvent{Attempt: req.Attempt, Progress: count, Version: ve}) != nil {
			cancel()
		}
	}
	ev := await(at.options.SampleEvery, beat, func() message.SampleEvent {
		return at.sample(ctx, en, atm)
	})
	_ = li.write(ev) // an error means that the entry has disconnected
}

// decode reads a JSON body of bounded size to its end: net/http detects a disconnected caller only
// after that.
func (at *Attendant) decode(rw http.ResponseWriter, rq *http.Request, value any) error {
	body, err := io.ReadAll(http.MaxBytesReader(rw, rq.Body, int64(at.options.MaxBodySize)))
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	return errors.Wrap(json.Unmarshal(body, value), "read request")
}

// checkSample validates a request and returns the time until its deadline.
func checkSample(en *endpoint, req message.SampleRequest) (time.Duration, error) {
	if en == nil || en.engine == nil {
		return 0, errors.New("no such engine here")
	}
	if req.Attempt == "" {
		return 0, errors.New("attempt: missing")
	}
	if req.MaxTokens <= 0 {
		return 0, errors.Newf("max-tokens: %d", req.MaxTokens)
	}
	if len(req.StorePlaces) < blob.ReplicaCount {
		return 0, errors.Newf("store-places: %d, want %d", len(req.StorePlaces), blob.ReplicaCount)
	}
	left, err := time.ParseDuration(req.Deadline)
	return left, errors.Wrap(err, "deadline")
}

// sample runs an attempt and returns its final event.
func (at *Attendant) sample(ctx context.Context, en *endpoint, atm *attempt) message.SampleEvent {
	ev := message.SampleEvent{Attempt: atm.id()}
	if !at.inflight.enter() {
		ev.Refusal = leaving(atm.id())
		return ev
	}
	defer at.inflight.exit()
	pa := at.partials.start(en, atm)
	if pa == nil {
		ev.Refusal = outcome.NewRefusal(outcome.InProgress, atm.id(), "the same attempt runs here")
		return ev
	}
	err := at.generate(ctx, en, atm)
	at.partials.finish(pa, err != nil, time.Now())
	if err == nil {
		ev.Result, err = at.store(ctx, en, atm)
	}
	ev.Progress, ev.Version = atm.progress()
	if err != nil {
		ev.Refusal = refusal(ctx, atm.id(), err)
	}
	en.metrics.sample(sampleResult(ev))
	return ev
}

// sampleResult returns the result label of an attempt.
func sampleResult(ev message.SampleEvent) string {
	switch {
	case ev.Result != nil:
		return resultWhole
	case ev.Refusal.Outcome() == outcome.NotRun:
		return resultRefused
	default:
		return resultFailed
	}
}

// generate queues an attempt and generates its tokens.
func (at *Attendant) generate(ctx context.Context, en *endpoint, atm *attempt) error {
	if err := at.checkFresh(en, atm.request); err != nil {
		return err
	}
	if atm.request.ResumeFrom != nil {
		at.resume(ctx, en, atm)
	}
	ti, err := at.admitSample(ctx, en, atm)
	if err != nil {
		return err
	}
	ctx, cancel := withDone(ctx, at.handOver, errLeaving)
	defer cancel()
	// The engine may have loaded older weights while the attempt was queued.
	if err := at.checkFresh(en, atm.request); err != nil {
		ti.Release(gate.NotSent)
		return err
	}
	ti.Started()
	err = at.runAttempt(ctx, en, atm)
	ti.Release(gateResult(ctx, err))
	return err
}

// admitSample waits for permission to send an attempt to the engine. During shutdown waiting
// attempts are refused, since they start sooner elsewhere.
func (at *Attendant) admitSample(ctx context.Context, en *endpoint, atm *attempt) (*gate.Ticket, error) {
	ctx, cancel := withDone(ctx, at.inflight.left, errLeaving)
	defer cancel()
	ti, err := en.admit(ctx, gate.Request{
		Class:    gate.Sample,
		ID:       atm.id(),
		Priority: at.priority(atm.request.Profile),
		Profile:  atm.request.Profile,
		Trainer:  atm.request.Trainer,
	})
	if err != nil && errors.Is(context.Cause(ctx), errLeaving) {
		return nil, leaving(atm.id())
	}
	return ti, err
}

// runAttempt sends an attempt to the engine and collects its tokens.
func (at *Attendant) runAttempt(ctx context.Context, en *endpoint, atm *attempt) error {
	resumed, _ := atm.snapshot()
	err := en.stream(ctx, engine.GenerateRequest{
		ID:        atm.id(),
		MaxTokens: atm.request.MaxTokens,
		Prompt:    atm.request.Prompt,
		Resume:    resumed,
		Seed:      atm.request.Seed,
	}, at.options.StallBound, atm.add)
	if err != nil {
		return err
	}
	if !atm.finished() {
		return errors.Wrapf(engine.ErrBroken, "attempt %s: answer without an end", atm.id())
	}
	if count, _ := atm.progress(); count == 0 {
		return errors.Wrapf(ErrEmpty, "attempt %s", atm.id())
	}
	return nil
}

// checkFresh refuses a request whose tokens would be too old, or while the version of the engine is
// not settled.
//
// During a swap, or after one that failed or whose outcome is unknown, the engine may generate
// tokens of either version. Requests that need a certain version wait until the engine's report has
// settled it.
func (at *Attendant) checkFresh(en *endpoint, req message.SampleRequest) error {
	if !at.fence.VersionStable(en.name) {
		re := outcome.NewRefusal(outcome.Refused, req.Attempt, en.name+" has an order that is not settled")
		re.RetryAfter = at.options.ReportEvery.String()
		return re
	}
	ve := en.currentVersion()
	if uint64(ve) >= req.MinVersion {
		return nil
	}
	return outcome.NewRefusal(outcome.Refused, req.Attempt,
		errors.Newf("version %d of %s is older than %d", ve, en.name, req.MinVersion).Error())
}

// store stores the sample's payload in two data folders.
func (at *Attendant) store(ctx context.Context, en *endpoint, atm *attempt) (*message.SampleResult, error) {
	pl := atm.payload()
	data, err := json.Marshal(pl)
	if err != nil {
		return nil, errors.Wrapf(err, "attempt %s", atm.id())
	}
	places, err := at.replicate(ctx, atm.request.StorePlaces, data)
	if err != nil {
		return nil, errors.Wrapf(err, "attempt %s: store payload", atm.id())
	}
	return &message.SampleResult{
		Digest:   blob.Digest(data),
		Endpoint: en.name,
		Places:   places,
		Segments: pl.Segments,
		Size:     len(data),
		Tokens:   len(pl.Tokens),
	}, nil
}

// replicate retries until ctx ends, since a data folder may be unavailable for some time and the
// tokens are expensive.
func (at *Attendant) replicate(ctx context.Context, places []message.BlobLocation, data []byte) ([]message.BlobLocation, error) {
	wait := storeBackoff
	for {
		taken, err := blob.Replicate(ctx, at.depot, places, data)
		if err == nil {
			return taken, nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(wait):
			wait = min(2*wait, storeBackoffMax)
		}
	}
}
