package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/engine"
	"wisteriacroft/message"
	"wisteriacroft/roundtrip"
	"wisteriacroft/unit"
)

// check returns an error unless a response is complete and belongs to the call.
func (ca *Caller) check(lc liveCall, resp *http.Response) error {
	if resp.StatusCode != http.StatusOK {
		return refusalOf(resp)
	}
	if id := resp.Header.Get(message.RequestIDHeader); id != "" && id != lc.id {
		return errMismatchedResponse
	}
	if ca.settings.MaxTokens > 0 {
		return checkStream(lc, resp.Body, ca.settings.MaxTokens)
	}
	var an PlainAnswer
	if err := json.NewDecoder(resp.Body).Decode(&an); err != nil {
		return errors.Wrap(err, "decode an answer")
	}
	if an.Path != lc.path() || an.Body != lc.id {
		return errMismatchedResponse
	}
	return nil
}

// checkStream returns an error unless a stream is complete and was generated
// for the call's prompt.
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
			return errMismatchedResponse
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
			return errMismatchedResponse
		}
		return nil
	}
	return errors.New("stream ended before its last chunk")
}

// compare compares the caller's results with the counts of the endpoints.
func (ca *Caller) compare(ctx context.Context) (CallerSummary, error) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.sum.P50 = unit.Duration(ca.histogram.ValueAtPercentile(50)) * unit.Duration(time.Microsecond)
	ca.sum.P99 = unit.Duration(ca.histogram.ValueAtPercentile(99)) * unit.Duration(time.Microsecond)
	all := Counts{Keys: map[string]int{}, Paths: map[string]int{}, Prompts: map[string]int{}}
	for _, base := range ca.endpoints {
		co, err := ca.fetchCounts(context.WithoutCancel(ctx), base)
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

// compareWith counts the calls that ran although they were refused as not run,
// and the calls that are not repeatable but ran twice. It looks calls up by path
// and prompt, which reach the endpoint even if headers are lost.
func (ca *Caller) compareWith(all Counts) {
	ca.sum.NotRunButRan, ca.sum.NotRepeatableRunTwice = 0, 0
	for _, lc := range ca.notRun {
		ca.sum.NotRunButRan += boolToInt(all.Paths[lc.path()]+all.Prompts[lc.prompt()] > 0)
	}
	for _, lc := range ca.notRepeatable {
		ca.sum.NotRepeatableRunTwice += boolToInt(all.Paths[lc.path()]+all.Prompts[lc.prompt()] > 1)
	}
}

// fetchCounts requests the counts of the endpoints behind a base URL.
func (ca *Caller) fetchCounts(ctx context.Context, base string) (Counts, error) {
	cl := roundtrip.New(base, ca.hc, errors.New("endpoints are unavailable"))
	co, status, err := roundtrip.Call[Counts](ctx, cl, http.MethodGet, "/counts", nil)
	if err == nil && status != http.StatusOK {
		err = errors.Newf("status %d", status)
	}
	return co, err
}
