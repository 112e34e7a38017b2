package keyvalue

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/roundtrip"
)

// A Call is the request body of a call over HTTP. Each call uses a subset of the fields.
type Call struct {
	Expected int64         `json:"expected,omitempty"`
	Key      string        `json:"key,omitempty"`
	Lease    LeaseID       `json:"lease,omitempty"`
	TTL      time.Duration `json:"ttl,omitempty"` // in nanoseconds
	Value    []byte        `json:"value,omitempty"`
}

// A Result is the response to a Call.
type Result struct {
	Lease   LeaseID `json:"lease,omitempty"`
	Version int64   `json:"version,omitempty"`
}

// statuses maps HTTP statuses to errors of the service.
var statuses = map[int]error{
	http.StatusConflict:              ErrConflict,
	http.StatusGone:                  ErrLeaseExpired,
	http.StatusNotFound:              ErrNotFound,
	http.StatusRequestEntityTooLarge: ErrTooLarge,
	http.StatusServiceUnavailable:    ErrUnavailable,
}

// Status returns the HTTP status for err, or 500 for any other error.
func Status(err error) int {
	for status, known := range statuses {
		if errors.Is(err, known) {
			return status
		}
	}
	return http.StatusInternalServerError
}

// An httpClient calls the service over HTTP. A write without a response fails with
// ErrOutcomeUnknown, and one that was not sent with ErrUnavailable.
type httpClient struct {
	reads  roundtrip.Client
	writes roundtrip.Client
}

// NewHTTP returns a Client of the HTTP server at baseURL. If hc is nil, it creates an
// http.Client.
func NewHTTP(baseURL string, hc *http.Client) *Client {
	ht := httpClient{reads: roundtrip.New(baseURL, hc, ErrUnavailable)}
	ht.writes = ht.reads
	ht.writes.Broken = ErrOutcomeUnknown
	ht.writes.Crossed = ErrOutcomeUnknown
	return &Client{
		DeleteFunc:    ht.delete,
		GetFunc:       ht.get,
		GrantFunc:     ht.grant,
		KeepAliveFunc: ht.keepAlive,
		ListFunc:      ht.list,
		PutFunc:       ht.put,
		RevokeFunc:    ht.revoke,
		WatchFunc:     ht.watch,
	}
}

// write sends a call that modifies the service.
func (ht httpClient) write(ctx context.Context, name string, ca Call) (Result, error) {
	re, status, err := roundtrip.Call[Result](ctx, ht.writes, http.MethodPost, "/key-value/"+name, ca)
	return re, outcome(status, err, ErrOutcomeUnknown)
}

// read sends a read-only call.
func read[Resp any](ctx context.Context, ht httpClient, path string) (Resp, error) {
	resp, status, err := roundtrip.Call[Resp](ctx, ht.reads, http.MethodGet, "/key-value/"+path, nil)
	return resp, outcome(status, err, ErrUnavailable)
}

// outcome returns the error of a call; an unknown status yields other.
func outcome(status int, err, other error) error {
	if err != nil || status == http.StatusOK {
		return err
	}
	if known, ok := statuses[status]; ok {
		return known
	}
	return errors.Wrapf(other, "status %d", status)
}

func (ht httpClient) delete(ctx context.Context, key string, expected int64) error {
	_, err := ht.write(ctx, "delete", Call{Expected: expected, Key: key})
	return err
}

func (ht httpClient) get(ctx context.Context, key string) (Item, error) {
	return read[Item](ctx, ht, "get?key="+url.QueryEscape(key))
}

func (ht httpClient) grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	re, err := ht.write(ctx, "grant", Call{TTL: ttl})
	return re.Lease, err
}

func (ht httpClient) keepAlive(ctx context.Context, id LeaseID) error {
	_, err := ht.write(ctx, "keep-alive", Call{Lease: id})
	return err
}

func (ht httpClient) list(ctx context.Context, prefix string) ([]Item, error) {
	return read[[]Item](ctx, ht, "list?prefix="+url.QueryEscape(prefix))
}

func (ht httpClient) put(
	ctx context.Context, key string, value []byte, expected int64, lease LeaseID,
) (int64, error) {
	re, err := ht.write(ctx, "put", Call{Expected: expected, Key: key, Lease: lease, Value: value})
	return re.Version, err
}

func (ht httpClient) revoke(ctx context.Context, id LeaseID) error {
	_, err := ht.write(ctx, "revoke", Call{Lease: id})
	return err
}

func (ht httpClient) watch(ctx context.Context, key string, after int64) (Item, error) {
	it, err := read[Item](ctx, ht, "watch?key="+url.QueryEscape(key)+"&after="+strconv.FormatInt(after, 10))
	if err != nil && ctx.Err() != nil {
		return Item{}, ctx.Err()
	}
	return it, err
}
