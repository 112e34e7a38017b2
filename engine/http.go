package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"wisteriacroft/roundtrip"
)

// maxLine is the maximum length of a line in a stream, in bytes.
const maxLine = 1 << 20

// A CallID is the request body of calls that concern another request.
type CallID struct {
	RequestID string `json:"request-id"`
}

// An httpClient calls an engine over HTTP.
type httpClient struct {
	roundtrip.Client
}

// NewHTTP returns a Client of the engine with HTTP at baseURL. If hc is nil, it creates an
// http.Client.
func NewHTTP(baseURL string, hc *http.Client) *Client {
	ht := httpClient{roundtrip.New(baseURL, hc, ErrBroken)}
	ht.Crossed = ErrMismatchedResponse
	ht.NotSent = ErrNotSent
	return &Client{
		CacheEventsFunc: ht.cacheEvents,
		CancelFunc:      ht.cancel,
		EndedFunc:       ht.Ended,
		ExportCacheFunc: ht.exportCache,
		GenerateFunc:    ht.generate,
		ImportCacheFunc: ht.importCache,
		OrderFunc:       ht.order,
		ReportFunc:      ht.report,
	}
}

// call sends a request and decodes its JSON response.
func call[Answer any](ctx context.Context, ht httpClient, method, path string, in any) (Answer, error) {
	an, status, err := roundtrip.Call[Answer](ctx, ht.Client, method, path, in)
	switch {
	case err != nil:
	case status == http.StatusConflict:
		err = ErrFenced
	case status != http.StatusOK:
		err = errors.Wrapf(ErrBroken, "status %d", status)
	}
	return an, errors.Wrap(err, path)
}

// cacheEvents implements Client.CacheEventsFunc.
func (ht httpClient) cacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	path := "/cache-events?after=" + strconv.FormatUint(after, 10)
	return call[[]CacheEvent](ctx, ht, http.MethodGet, path, nil)
}

// cancel implements Client.CancelFunc.
func (ht httpClient) cancel(ctx context.Context, requestID string) error {
	_, err := call[struct{}](ctx, ht, http.MethodPost, "/cancel", CallID{requestID})
	return err
}

// exportCache implements Client.ExportCacheFunc.
func (ht httpClient) exportCache(ctx context.Context, requestID string) (CacheSnapshot, error) {
	cs, err := call[CacheSnapshot](ctx, ht, http.MethodPost, "/export-cache", CallID{requestID})
	if err == nil && cs.RequestID != requestID {
		err = errors.Wrapf(ErrMismatchedResponse, "cache of %q came for %q", cs.RequestID, requestID)
	}
	return cs, err
}

// importCache implements Client.ImportCacheFunc.
func (ht httpClient) importCache(ctx context.Context, cs CacheSnapshot) error {
	_, err := call[struct{}](ctx, ht, http.MethodPost, "/import-cache", cs)
	return err
}

// order implements Client.OrderFunc.
func (ht httpClient) order(ctx context.Context, or Order) error {
	_, err := call[struct{}](ctx, ht, http.MethodPost, "/orders", or)
	return err
}

// report implements Client.ReportFunc.
func (ht httpClient) report(ctx context.Context) (Report, error) {
	return call[Report](ctx, ht, http.MethodGet, "/report", nil)
}

// generate implements Client.GenerateFunc.
func (ht httpClient) generate(ctx context.Context, req GenerateRequest, emit func(Chunk) error) error {
	body, err := json.Marshal(req)
	if err != nil {
		return errors.Wrapf(ErrNotSent, "encode: %v", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	an, err := ht.Do(ctx, roundtrip.Request{Body: body, ID: req.ID, Method: http.MethodPost, Path: "/generate"})
	if err != nil {
		return errors.Wrap(err, "/generate")
	}
	defer func() { _ = an.Body.Close() }()
	if an.Status != http.StatusOK {
		return errors.Wrapf(ErrBroken, "/generate: status %d", an.Status)
	}
	sc := bufio.NewScanner(an.Body)
	sc.Buffer(nil, maxLine)
	if err := readStream(sc, req, emit); err != nil {
		return errors.Wrap(err, "/generate")
	}
	roundtrip.Finish(an.Body, cancel)
	return nil
}

// maxEmptyChunks is the maximum number of chunks without a token, one after the other.
const maxEmptyChunks = 100

// readStream emits a stream's chunks until one is Done.
//
// To detect truncated or mismatched streams, it requires a last chunk that is Done, and
// that each chunk has the request's ID and continues where the previous one ended.
func readStream(sc *bufio.Scanner, req GenerateRequest, emit func(Chunk) error) error {
	next, empty := len(req.Resume), 0
	for sc.Scan() {
		var ch Chunk
		if err := json.Unmarshal(sc.Bytes(), &ch); err != nil {
			return errors.Wrapf(ErrBroken, "decode a chunk: %v", err)
		}
		if ch.RequestID != req.ID {
			return errors.Wrapf(ErrMismatchedResponse, "chunk of %q came for %q", ch.RequestID, req.ID)
		}
		if ch.First != next {
			return errors.Wrapf(ErrBroken, "chunk at %d came for %d", ch.First, next)
		}
		if empty++; len(ch.Tokens) > 0 {
			empty = 0
		}
		if empty > maxEmptyChunks {
			return errors.Wrapf(ErrBroken, "%d chunks without a token", empty)
		}
		next += len(ch.Tokens)
		if err := emit(ch); err != nil {
			return err
		}
		if ch.Done {
			return nil
		}
	}
	if err := sc.Err(); err != nil {
		return errors.Wrapf(ErrBroken, "read a chunk: %v", err)
	}
	return errors.Wrap(ErrBroken, "stream ended before its last chunk")
}
