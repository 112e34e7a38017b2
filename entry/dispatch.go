package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/batch"
	"wisteriacroft/blob"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/profile"
	"wisteriacroft/roundtrip"
	"wisteriacroft/route"
	"wisteriacroft/telemetry"
)

const (
	// sampleRoom is the load, as part of its limit, up to which an endpoint is
	// given samples. Those beyond wait with their batch owner, which can still
	// start others before them, on fresher weights or on another endpoint. At a
	// full endpoint they would wait for minutes, then be refused and back off.
	sampleRoom = 1
	// attemptSilence is after how long without a line from the attendant an
	// attempt is given up: attendants send one each two seconds.
	attemptSilence = 8 * time.Second
	// overloadWait is how long an attendant that was overloaded is passed
	// over, if it doesn't say itself.
	overloadWait = 250 * time.Millisecond
)

// errSilent means that a connection brought nothing within its bound.
var errSilent = errors.New("attendant went silent")

// A dispatcher sends attempts to attendants and reports to the batch owner
// what becomes of them.
type dispatcher struct {
	client   *http.Client
	goFunc   func(run func(context.Context)) // runs until the entry ends
	log      *logrus.Entry
	owner    *batch.Owner
	places   func() []message.BlobLocation
	profiles *profile.Replica
	routes   *route.Table

	mu      sync.Mutex
	cancels map[string]context.CancelFunc // by attempt
}

// start implements batch.Owner's StartFunc.
func (di *dispatcher) start(at batch.Attempt) bool {
	do := di.profiles.Current()
	pr, ok := do.Profile(at.Profile)
	places := di.places()
	if !ok || !spread(places) {
		return false
	}
	se, _ := do.Service(pr.Service())
	need := route.Need{
		FailureDomain: preferred(se),
		MinVersion:    at.MinVersion,
		Prefix:        strconv.FormatUint(xxhash.Sum64String(at.Prompt), 36),
		Room:          sampleRoom,
		Service:       pr.Service(),
	}
	if at.Avoid != "" {
		need.Exclude = []string{at.Avoid}
	}
	en, ok := di.routes.Pick(time.Now(), need)
	if !ok {
		return false
	}
	req := message.SampleRequest{
		Attempt:     at.ID,
		Deadline:    pr.AttemptTimeout().String(),
		Group:       at.Slot.Group,
		MaxTokens:   at.MaxTokens,
		Member:      at.Slot.Member,
		MinVersion:  uint64(at.MinVersion),
		Profile:     at.Profile,
		Prompt:      at.Prompt,
		ResumeFrom:  at.ResumeFrom,
		Revision:    do.Revision(),
		Seed:        at.Seed,
		Step:        at.Slot.Step,
		StorePlaces: places,
		Trainer:     at.Slot.Trainer,
	}
	canceled := di.note(req.Attempt)
	di.goFunc(func(ctx context.Context) { di.run(ctx, canceled, en, req) })
	return true
}

// spread tells whether the places lie in enough failure domains to keep a
// payload. Until the roster knows of them, an attempt would be made in vain.
func spread(places []message.BlobLocation) bool {
	domains := map[string]bool{}
	for _, pl := range places {
		domains[pl.FailureDomain] = true
	}
	return len(domains) >= blob.ReplicaCount
}

// cancel implements batch.Owner's CancelFunc. The attendant sees the
// connection close and cancels the request at the engine.
func (di *dispatcher) cancel(id string) {
	di.mu.Lock()
	defer di.mu.Unlock()
	if cancel, ok := di.cancels[id]; ok {
		cancel()
	}
}

// run sends one attempt to its endpoint and reports how it ended.
func (di *dispatcher) run(
	ctx context.Context, canceled context.Context, en route.Endpoint, req message.SampleRequest,
) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(canceled, cancel)()
	defer di.forget(req.Attempt)
	ctx, sp := telemetry.Start(ctx, "sample-attempt")
	di.owner.Started(req.Attempt, en.ID, en.Address)
	res, err := di.exchange(ctx, en, req)
	telemetry.End(sp, err)
	di.settle(ctx, en, err)
	if err != nil {
		di.log.WithError(err).WithFields(logrus.Fields{
			"attempt":  req.Attempt,
			"endpoint": en.ID,
		}).Debug("attempt failed")
		di.owner.Failed(req.Attempt, err)
		return
	}
	di.owner.Finished(req.Attempt, *res)
}

// note makes an attempt one that can be canceled, before it runs: a cancel that
// came between the two would be lost, and the attempt run in vain. The context
// that it returns ends with the cancel.
func (di *dispatcher) note(id string) context.Context {
	canceled, cancel := context.WithCancel(context.Background())
	di.mu.Lock()
	defer di.mu.Unlock()
	if di.cancels == nil {
		di.cancels = map[string]context.CancelFunc{}
	}
	di.cancels[id] = cancel
	return canceled
}

func (di *dispatcher) forget(id string) {
	di.mu.Lock()
	defer di.mu.Unlock()
	if cancel, ok := di.cancels[id]; ok {
		cancel()
		delete(di.cancels, id)
	}
}

// settle tells the routes how the attempt went. One that was canceled here
// says nothing against the endpoint.
func (di *dispatcher) settle(ctx context.Context, en route.Endpoint, err error) {
	now := time.Now()
	var re *outcome.Refusal
	switch {
	case err == nil || ctx.Err() != nil:
		di.routes.Succeeded(now, en.ID)
	case errors.As(err, &re) && re.Outcome() == outcome.NotRun:
		wait := re.RetryDelay()
		if wait == 0 {
			wait = overloadWait
		}
		di.routes.Refused(now, en.ID, wait)
	default:
		di.routes.Failed(now, en.ID)
	}
}

// exchange sends the request and reads the lines of its answer to the last.
func (di *dispatcher) exchange(
	ctx context.Context, en route.Endpoint, req message.SampleRequest,
) (*message.SampleResult, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	path := strings.Replace(message.SamplePath, "{endpoint}", en.ID, 1)
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+en.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	telemetry.Inject(ctx, out.Header)
	// A connection can go silent for good while new ones work. Without this
	// bound the slot would wait on it until the step's deadline.
	silence := time.AfterFunc(attemptSilence, func() { cancel(errSilent) })
	defer silence.Stop()
	an, err := di.client.Do(out)
	if err != nil {
		return nil, di.abandon(cause(ctx, err))
	}
	defer an.Body.Close()
	if an.StatusCode != http.StatusOK {
		return nil, readRefusal(an)
	}
	res, err := di.read(ctx, an.Body, req.Attempt, silence)
	if err == nil {
		roundtrip.Finish(an.Body, func() { cancel(nil) })
	}
	return res, di.abandon(err)
}

// abandon closes the idle connections if one has gone silent, and returns err.
//
// What makes one connection go silent mostly takes all that were open then.
// Each further attempt would wait on the next idle one for attemptSilence, and
// one would notice it by slots that fail at one attendant over and over.
func (di *dispatcher) abandon(err error) error {
	if errors.Is(err, errSilent) {
		di.client.CloseIdleConnections()
	}
	return err
}

// read reads the lines of an answer.
func (di *dispatcher) read(
	ctx context.Context, body io.Reader, attempt string, silence *time.Timer,
) (*message.SampleResult, error) {
	de := json.NewDecoder(body)
	for {
		var ev message.SampleEvent
		if err := de.Decode(&ev); err != nil {
			return nil, errors.Wrapf(cause(ctx, err), "attempt %s: answer broke off", attempt)
		}
		silence.Reset(attemptSilence)
		if ev.Attempt != attempt {
			return nil, errors.Newf("attempt %s: answer of attempt %s", attempt, ev.Attempt)
		}
		// Reported for a failed attempt too: the next one goes on from its tokens.
		di.owner.Progress(attempt, ev.Progress, ev.Version)
		switch {
		case ev.Refusal != nil:
			return nil, ev.Refusal
		case ev.Result != nil:
			return ev.Result, nil
		}
	}
}

// cause returns why ctx was canceled here, if it was, and err otherwise.
func cause(ctx context.Context, err error) error {
	if why := context.Cause(ctx); why != nil {
		return why
	}
	return err
}

// readRefusal reads the refusal in an answer.
func readRefusal(an *http.Response) error {
	var re outcome.Refusal
	if err := json.NewDecoder(io.LimitReader(an.Body, maxPullSize)).Decode(&re); err != nil || re.Code == "" {
		return errors.Newf("attendant answered status %d", an.StatusCode)
	}
	return &re
}
