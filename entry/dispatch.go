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
	// maxSampleLoad is the load, as a fraction of its limit, up to which an endpoint
	// accepts samples. The others stay with their batch owner, which can reorder them
	// or choose another endpoint, instead of queueing at a full endpoint.
	maxSampleLoad = 1
	// silenceTimeout is the time without a line from the attendant after which an
	// attempt fails. Attendants send one every two seconds.
	silenceTimeout = 8 * time.Second
	// overloadBackoff is the backoff for an overloaded attendant that names none.
	overloadBackoff = 250 * time.Millisecond
)

// errSilence means that nothing was received on a connection within silenceTimeout.
var errSilence = errors.New("attendant sent nothing within the silence timeout")

// A dispatcher sends attempts to attendants and reports their results to the batch
// owner.
type dispatcher struct {
	client    *http.Client
	goFunc    func(run func(context.Context)) // runs until the entry ends
	log       *logrus.Entry
	owner     *batch.Owner
	locations func() []message.BlobLocation
	profiles  *profile.Replica
	routes    *route.Table

	mu      sync.Mutex
	cancels map[string]context.CancelFunc // by attempt
}

// start implements batch.Owner's StartFunc.
func (di *dispatcher) start(at batch.Attempt) bool {
	do := di.profiles.Current()
	pr, ok := do.Profile(at.Profile)
	locations := di.locations()
	if !ok || !spansDomains(locations) {
		return false
	}
	se, _ := do.Service(pr.Service())
	need := route.Need{
		FailureDomain: preferredDomain(se),
		MinVersion:    at.MinVersion,
		Prefix:        strconv.FormatUint(xxhash.Sum64String(at.Prompt), 36),
		Room:          maxSampleLoad,
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
		StorePlaces: locations,
		Trainer:     at.Slot.Trainer,
	}
	canceled := di.registerCancel(req.Attempt)
	di.goFunc(func(ctx context.Context) { di.run(ctx, canceled, en, req) })
	return true
}

// spansDomains reports whether the locations span enough failure domains to replicate a payload.
// Without them, the payload of an attempt could not be stored.
func spansDomains(locations []message.BlobLocation) bool {
	domains := map[string]bool{}
	for _, bl := range locations {
		domains[bl.FailureDomain] = true
	}
	return len(domains) >= blob.ReplicaCount
}

// cancel implements batch.Owner's CancelFunc. It closes the connection, upon which the
// attendant cancels the request at the engine.
func (di *dispatcher) cancel(id string) {
	di.mu.Lock()
	defer di.mu.Unlock()
	if cancel, ok := di.cancels[id]; ok {
		cancel()
	}
}

// run sends one attempt to its endpoint and reports the result.
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
	di.updateRoute(ctx, en, err)
	if err != nil {
		di.log.WithError(err).WithFields(logrus.Fields{
			"attempt":  req.Attempt,
			"endpoint": en.ID,
		}).Debug("sample attempt failed")
		di.owner.Failed(req.Attempt, err)
		return
	}
	di.owner.Finished(req.Attempt, *res)
}

// registerCancel registers an attempt for cancellation and returns a context that cancel ends. It
// is called before the attempt runs, so that an early cancel is not lost.
func (di *dispatcher) registerCancel(id string) context.Context {
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

// updateRoute reports the result of an attempt to the routing table. One that was canceled by
// this entry doesn't count as a failure of the endpoint.
func (di *dispatcher) updateRoute(ctx context.Context, en route.Endpoint, err error) {
	now := time.Now()
	var re *outcome.Refusal
	switch {
	case err == nil || ctx.Err() != nil:
		di.routes.Succeeded(now, en.ID)
	case errors.As(err, &re) && re.Outcome() == outcome.NotRun:
		wait := re.RetryDelay()
		if wait == 0 {
			wait = overloadBackoff
		}
		di.routes.Refused(now, en.ID, wait)
	default:
		di.routes.Failed(now, en.ID)
	}
}

// exchange sends the request and reads its response to the end.
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
	// A connection can stall forever while new ones work. Without this timer the slot
	// would block until the step's deadline.
	silence := time.AfterFunc(silenceTimeout, func() { cancel(errSilence) })
	defer silence.Stop()
	rs, err := di.client.Do(out)
	if err != nil {
		return nil, di.closeStalled(cause(ctx, err))
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return nil, readRefusal(rs)
	}
	res, err := di.read(ctx, rs.Body, req.Attempt, silence)
	if err == nil {
		roundtrip.Finish(rs.Body, func() { cancel(nil) })
	}
	return res, di.closeStalled(err)
}

// closeStalled closes all idle connections if one has stalled, and returns err.
//
// The cause of a stall usually affects all open connections. Otherwise each further
// attempt would block on the next idle one for silenceTimeout.
func (di *dispatcher) closeStalled(err error) error {
	if errors.Is(err, errSilence) {
		di.client.CloseIdleConnections()
	}
	return err
}

// read reads the events of a response until its result or refusal.
func (di *dispatcher) read(
	ctx context.Context, body io.Reader, attempt string, silence *time.Timer,
) (*message.SampleResult, error) {
	de := json.NewDecoder(body)
	for {
		var ev message.SampleEvent
		if err := de.Decode(&ev); err != nil {
			return nil, errors.Wrapf(cause(ctx, err), "attempt %s: read response", attempt)
		}
		silence.Reset(silenceTimeout)
		if ev.Attempt != attempt {
			return nil, errors.Newf("attempt %s: response belongs to attempt %s", attempt, ev.Attempt)
		}
		// Reported for a failed attempt too: the next one resumes from its tokens.
		di.owner.Progress(attempt, ev.Progress, ev.Version)
		switch {
		case ev.Refusal != nil:
			return nil, ev.Refusal
		case ev.Result != nil:
			return ev.Result, nil
		}
	}
}

// cause returns the cancellation cause of ctx if it was canceled, and err otherwise.
func cause(ctx context.Context, err error) error {
	if why := context.Cause(ctx); why != nil {
		return why
	}
	return err
}

// readRefusal returns the refusal in a response, or an error with its status.
func readRefusal(rs *http.Response) error {
	var re outcome.Refusal
	if err := json.NewDecoder(io.LimitReader(rs.Body, maxPullSize)).Decode(&re); err != nil || re.Code == "" {
		return errors.Newf("attendant returned status %d without a refusal", rs.StatusCode)
	}
	return &re
}
