package standin

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"wisteriacroft/engine"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/unit"
)

// maxInFlight is how many calls a caller has open at once.
const maxInFlight = 512

// A CallerSummary counts the results of a caller's calls and compares them
// with the counts of the endpoints.
type CallerSummary struct {
	Broken                int                  `json:"broken"`              // connections cut, responses truncated
	BrokenBy              string               `json:"broken-by,omitempty"` // id, duration and error of the first of them
	Calls                 int                  `json:"calls"`
	Crossed               int                  `json:"crossed"` // responses that belong to another request
	Name                  string               `json:"name"`
	NotRepeatableRunTwice int                  `json:"not-repeatable-run-twice"`
	NotRunButRan          int                  `json:"not-run-but-ran"`
	P50                   unit.Duration        `json:"p50"` // of complete responses
	P99                   unit.Duration        `json:"p99"`
	Refused               map[outcome.Code]int `json:"refused"`
	RefusedBy             string               `json:"refused-by,omitempty"` // like BrokenBy
	Unsent                int                  `json:"unsent"`               // maxInFlight was reached
	Whole                 int                  `json:"whole"`                // complete responses
}

// errMismatchedResponse means that a caller got the response of another request.
var errMismatchedResponse = errors.New("answer belongs to another request")

// A liveCall is one call of a Caller.
type liveCall struct {
	id         string // part of the path or prompt, by which the endpoints count runs
	key        string // idempotency key
	repeatable bool
}

func (lc liveCall) path() string   { return "/calls/" + lc.id }
func (lc liveCall) prompt() string { return "live call " + lc.id }

// failure describes how a call failed, with its id.
func (lc liveCall) failure(took time.Duration, err error) string {
	return fmt.Sprintf("%s after %s: %v", lc.id, took.Round(time.Millisecond), err)
}

// maxDials is how many entries an attempt may dial.
const maxDials = 3

// A Caller sends live calls at a constant rate.
type Caller struct {
	endpoints []string
	entries   entries
	hc        *http.Client
	settings  CallerSettings

	mu            sync.Mutex
	histogram     *hdrhistogram.Histogram // of complete responses, in microseconds
	notRun        []liveCall
	notRepeatable []liveCall
	sum           CallerSummary
}

// NewCaller returns a caller of validated settings. endpoints are the base URLs
// of the endpoints' stand-ins whose counts it compares with, if any.
func NewCaller(se CallerSettings, addresses, endpoints []string, hc *http.Client) *Caller {
	return &Caller{
		endpoints: endpoints,
		entries:   entries{addresses: addresses},
		hc:        hc,
		histogram: hdrhistogram.New(1, 600e6, 3),
		settings:  se,
		sum:       CallerSummary{Name: se.Name, Refused: map[outcome.Code]int{}},
	}
}

// Run sends calls until its configured duration has passed or until is closed,
// and compares the responses with the counts of the endpoints.
func (ca *Caller) Run(ctx context.Context, until <-chan struct{}) (CallerSummary, error) {
	var over <-chan time.Time
	if ca.settings.For > 0 {
		over = time.After(time.Duration(ca.settings.For))
		until = nil
	}
	ti := time.NewTicker(time.Second / time.Duration(ca.settings.Rate))
	defer ti.Stop()
	open := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	for sending := true; sending; {
		select {
		case <-ctx.Done():
			sending = false
		case <-over:
			sending = false
		case <-until:
			sending = false
		case <-ti.C:
			ca.send(ctx, &wg, open)
		}
	}
	wg.Wait()
	return ca.compare(ctx)
}

// send makes a call in the background, unless maxInFlight calls are open.
func (ca *Caller) send(ctx context.Context, wg *sync.WaitGroup, open chan struct{}) {
	select {
	case open <- struct{}{}:
		wg.Go(func() {
			defer func() { <-open }()
			ca.call(ctx)
		})
	default:
		ca.count(func() { ca.sum.Unsent++ })
	}
}

// count calls change with mu held.
func (ca *Caller) count(change func()) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	change()
}

// call makes one call, and repeats it with the same key while its outcome is
// unknown.
func (ca *Caller) call(ctx context.Context) {
	lc := liveCall{
		id:         uuid.NewString(),
		key:        uuid.Must(uuid.NewV7()).String(),
		repeatable: rand.IntN(100) >= ca.settings.NotRepeatable,
	}
	began := time.Now()
	var err error
	overall := outcome.NotRun // of all attempts
	for range 1 + ca.settings.Repeats {
		if err = ca.tryEntries(ctx, lc); err == nil {
			break
		}
		if outcome.FromError(err) == outcome.NotRun {
			break
		}
		overall = outcome.Unknown
		ca.entries.next()
	}
	ca.count(func() { ca.recordResult(lc, err, overall, time.Since(began)) })
}

// recordResult counts the result of a call. The caller holds mu.
func (ca *Caller) recordResult(lc liveCall, err error, overall outcome.Outcome, took time.Duration) {
	ca.sum.Calls++
	if !lc.repeatable {
		ca.notRepeatable = append(ca.notRepeatable, lc)
	}
	var re *outcome.Refusal
	switch {
	case err == nil:
		ca.sum.Whole++
		_ = ca.histogram.RecordValue(max(1, took.Microseconds()))
	case errors.Is(err, errMismatchedResponse):
		ca.sum.Crossed++
	case errors.As(err, &re):
		ca.sum.Refused[re.Code]++
		ca.sum.RefusedBy = cmp.Or(ca.sum.RefusedBy, lc.failure(took, err))
		if re.Outcome() == outcome.NotRun && overall == outcome.NotRun {
			ca.notRun = append(ca.notRun, lc)
		}
	default:
		ca.sum.Broken++
		ca.sum.BrokenBy = cmp.Or(ca.sum.BrokenBy, lc.failure(took, err))
	}
}

// tryEntries sends a call once, to the first entry that accepts a connection, as a
// load balancer does: after a refused connection, nothing was sent.
func (ca *Caller) tryEntries(ctx context.Context, lc liveCall) error {
	var err error
	for range maxDials {
		err = ca.try(ctx, lc)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		ca.entries.next()
	}
	return err
}

// try sends a call to the current entry.
func (ca *Caller) try(ctx context.Context, lc liveCall) error {
	ctx, cancel := context.WithTimeout(ctx, ca.settings.deadline()+time.Second)
	defer cancel()
	req, err := ca.request(ctx, lc)
	if err != nil {
		return err
	}
	resp, err := ca.hc.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return ca.check(lc, resp)
}

// request builds the HTTP request of a call.
func (ca *Caller) request(ctx context.Context, lc liveCall) (*http.Request, error) {
	path := "/v1/services/" + ca.settings.Service
	body := []byte(lc.id)
	if ca.settings.MaxTokens > 0 {
		path += "/stream"
		var err error
		body, err = json.Marshal(engine.GenerateRequest{ID: lc.id, MaxTokens: ca.settings.MaxTokens, Prompt: lc.prompt()})
		if err != nil {
			return nil, err
		}
	} else {
		path += "/call" + lc.path()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, ca.entries.current()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // the transport must not retry it
	req.Header.Set(message.DeadlineHeader, ca.settings.deadline().String())
	req.Header.Set(message.ProfileHeader, ca.settings.Profile)
	req.Header.Set(message.RequestIDHeader, lc.id)
	req.Header.Set(message.RepeatableHeader, "yes")
	if !lc.repeatable {
		req.Header.Set(message.RepeatableHeader, "no")
		req.Header.Set(message.IdempotencyKeyHeader, lc.key)
	}
	return req, nil
}
