package standin

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
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
	"wisteriacroft/roundtrip"
	"wisteriacroft/unit"
)

// maxInFlight is how many calls a caller has open at one time.
const maxInFlight = 512

// A CallerSummary is what a caller saw, compared with what the endpoints
// counted.
type CallerSummary struct {
	Broken                int                  `json:"broken"`              // connections cut, answers cut short
	BrokenBy              string               `json:"broken-by,omitempty"` // how the first of them ended
	Calls                 int                  `json:"calls"`
	Crossed               int                  `json:"crossed"`
	Name                  string               `json:"name"`
	NotRepeatableRunTwice int                  `json:"not-repeatable-run-twice"`
	NotRunButRan          int                  `json:"not-run-but-ran"`
	P50                   unit.Duration        `json:"p50"` // of whole answers
	P99                   unit.Duration        `json:"p99"`
	Refused               map[outcome.Code]int `json:"refused"`
	Unsent                int                  `json:"unsent"` // too many were open
	Whole                 int                  `json:"whole"`
}

// errCrossed means that a caller got the answer of another request.
var errCrossed = errors.New("answer belongs to another request")

// A liveCall is one call and all that is known of it.
type liveCall struct {
	id         string // also names the path or prompt, so that the endpoints count it
	key        string // idempotency key
	repeatable bool
}

func (lc liveCall) path() string   { return "/calls/" + lc.id }
func (lc liveCall) prompt() string { return "live call " + lc.id }

// refusedDials is how many entries a call is offered to.
const refusedDials = 3

// A Caller sends live calls at a rate.
type Caller struct {
	endpoints []string
	entries   entries
	hc        *http.Client
	settings  CallerSettings

	mu        sync.Mutex
	histogram *hdrhistogram.Histogram // of whole answers, in microseconds
	notRun    []liveCall
	notTwice  []liveCall // not repeatable
	sum       CallerSummary
}

// NewCaller returns a caller of checked settings. endpoints are the base URLs
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

// Run sends calls until its time is over or until closes, and compares what it
// was told with what the endpoints counted.
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

// send makes a call in the background, unless as many as open has room for are
// under way.
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

// count changes the counts under mu.
func (ca *Caller) count(change func()) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	change()
}

// call makes one call, again by the same key while its fate is unknown.
func (ca *Caller) call(ctx context.Context) {
	lc := liveCall{
		id:         uuid.NewString(),
		key:        uuid.Must(uuid.NewV7()).String(),
		repeatable: rand.IntN(100) >= ca.settings.NotRepeatable,
	}
	began := time.Now()
	var err error
	truth := outcome.NotRun // of all attempts
	for range 1 + ca.settings.Repeats {
		if err = ca.tryEach(ctx, lc); err == nil {
			break
		}
		if outcome.FromError(err) == outcome.NotRun {
			break
		}
		truth = outcome.Unknown
		ca.entries.next()
	}
	ca.count(func() { ca.settle(lc, err, truth, time.Since(began)) })
}

// settle counts a call's end.
func (ca *Caller) settle(lc liveCall, err error, truth outcome.Outcome, took time.Duration) {
	ca.sum.Calls++
	if !lc.repeatable {
		ca.notTwice = append(ca.notTwice, lc)
	}
	var re *outcome.Refusal
	switch {
	case err == nil:
		ca.sum.Whole++
		_ = ca.histogram.RecordValue(max(1, took.Microseconds()))
	case errors.Is(err, errCrossed):
		ca.sum.Crossed++
	case errors.As(err, &re):
		ca.sum.Refused[re.Code]++
		if re.Outcome() == outcome.NotRun && truth == outcome.NotRun {
			ca.notRun = append(ca.notRun, lc)
		}
	default:
		ca.sum.Broken++
		ca.sum.BrokenBy = cmp.Or(ca.sum.BrokenBy, fmt.Sprintf("%s after %s: %v", lc.id, took.Round(time.Millisecond), err))
	}
}

// tryEach sends a call once, to the first entry that takes a connection, as a
// balancer does: a refused connection has carried nothing.
func (ca *Caller) tryEach(ctx context.Context, lc liveCall) error {
	var err error
	for range refusedDials {
		err = ca.try(ctx, lc)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		ca.entries.next()
	}
	return err
}

// try sends a call once.
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

// request returns the request of a call.
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
	req.GetBody = nil // the transport must not repeat it
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

// check tells whether an answer is whole and the call's own.
func (ca *Caller) check(lc liveCall, resp *http.Response) error {
	if resp.StatusCode != http.StatusOK {
		return refusalOf(resp)
	}
	if id := resp.Header.Get(message.RequestIDHeader); id != "" && id != lc.id {
		return errCrossed
	}
	if ca.settings.MaxTokens > 0 {
		return checkStream(lc, resp.Body, ca.settings.MaxTokens)
	}
	var an PlainAnswer
	if err := json.NewDecoder(resp.Body).Decode(&an); err != nil {
		return errors.Wrap(err, "decode an answer")
	}
	if an.Path != lc.path() || an.Body != lc.id {
		return errCrossed
	}
	return nil
}

// checkStream tells whether a stream is whole and made for the call's prompt.
func checkStream(lc liveCall, body io.Reader, maxTokens int) error {
	var tokens []engine.Token
	var segments []engine.Segment
	sc := bufio.NewScanner(body)
	for sc.Scan() {
		var ch engine.Chunk
		if err := json.Unmarshal(sc.Bytes(), &ch); err != nil {
			return errors.Wrap(err, "decode a chunk")
		}
		if ch.RequestID != lc.id {
			return errCrossed
		}
		if ch.First != len(tokens) {
			return errors.Newf("chunk at %d came for %d", ch.First, len(tokens))
		}
		tokens = append(tokens, ch.Tokens...)
		segments = append(segments, engine.Segment{Tokens: len(ch.Tokens), Version: ch.Version})
		if !ch.Done {
			continue
		}
		if !Attributed(lc.prompt(), tokens, segments) || !Whole(lc.prompt(), tokens, maxTokens) {
			return errCrossed
		}
		return nil
	}
	return errors.New("stream ended before its last chunk")
}

// compare compares what the caller was told with what the endpoints counted.
func (ca *Caller) compare(ctx context.Context) (CallerSummary, error) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.sum.P50 = unit.Duration(ca.histogram.ValueAtPercentile(50)) * unit.Duration(time.Microsecond)
	ca.sum.P99 = unit.Duration(ca.histogram.ValueAtPercentile(99)) * unit.Duration(time.Microsecond)
	all := Counts{Keys: map[string]int{}, Paths: map[string]int{}, Prompts: map[string]int{}}
	for _, base := range ca.endpoints {
		co, err := ca.counts(context.WithoutCancel(ctx), base)
		if err != nil {
			return ca.sum, errors.Wrapf(err, "counts of %s", base)
		}
		for path, runs := range co.Paths {
			all.Paths[path] += runs
		}
		for prompt, runs := range co.Prompts {
			all.Prompts[prompt] += runs
		}
	}
	ca.compareWith(all)
	return ca.sum, nil
}

// compareWith counts the calls that ran though they were refused as not run, and
// those that ran twice though they may not. Calls are found by path and prompt,
// which are known even if the headers got lost on the way.
func (ca *Caller) compareWith(all Counts) {
	ca.sum.NotRunButRan, ca.sum.NotRepeatableRunTwice = 0, 0
	for _, lc := range ca.notRun {
		ca.sum.NotRunButRan += count(all.Paths[lc.path()]+all.Prompts[lc.prompt()] > 0)
	}
	for _, lc := range ca.notTwice {
		ca.sum.NotRepeatableRunTwice += count(all.Paths[lc.path()]+all.Prompts[lc.prompt()] > 1)
	}
}

// counts returns what the endpoints behind a base URL counted.
func (ca *Caller) counts(ctx context.Context, base string) (Counts, error) {
	cl := roundtrip.New(base, ca.hc, errors.New("endpoints are unavailable"))
	co, status, err := roundtrip.Call[Counts](ctx, cl, http.MethodGet, "/counts", nil)
	if err == nil && status != http.StatusOK {
		err = errors.Newf("status %d", status)
	}
	return co, err
}
