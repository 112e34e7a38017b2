package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// call makes one call on a new channel.
func call(ctx context.Context, method, url string, body []byte, header map[string]string, wait time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	rq.Host, rq.Close = host, true
	for name, value := range header {
		rq.Header.Set(name, value)
	}
	tr := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	defer tr.CloseIdleConnections()
	an, err := tr.RoundTrip(rq)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = an.Body.Close() }()
	data, err := io.ReadAll(an.Body)
	return an.StatusCode, data, err
}

// front returns the address of an entry for consumers.
func (w *world) front(pr *process) string {
	return fmt.Sprintf("http://%s:%d", pr.ip, w.port+portFront)
}

// A result is a listed result of an item.
type result struct {
	ID       string   `json:"id"`
	State    string   `json:"state"`
	Text     string   `json:"text"`
	Versions []uint64 `json:"versions"`
}

// A lot is a batch submission of a trainer.
type lot struct {
	entries []*process // asked in turn
	groups  []string   // by item
	id      string
	items   []string
	number  int
	oldest  uint64 // min_version
	prefix  string
	target  int // groups that the trainer waits for
	w       *world

	accepted time.Time
	calls    int
	listed   map[string]result
	total    int
}

// submit hands the lot in until it is accepted.
func (lo *lot) submit(ctx context.Context) error {
	var items []map[string]any
	for i, id := range lo.items {
		items = append(items, map[string]any{
			"id": id, "path": lo.prefix + "item/" + id, "group": lo.groups[i], "tokens": 400,
			"headers": map[string]string{"X-Model": modelName, "X-Token-Usage": "271,129", "X-Prompt-Prefix": "9c2e41:255,5d07b8:16"},
			"body":    base64.StdEncoding.EncodeToString([]byte("prompt of " + id)),
		})
	}
	body, err := json.Marshal(map[string]any{
		"step": lo.number, "model": modelName, "min_version": lo.oldest, "target_groups": lo.target, "items": items,
	})
	if err != nil {
		return err
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(300 * time.Millisecond) {
		status, _, err := lo.call(ctx, http.MethodPost, lo.prefix+lo.id, body, map[string]string{attemptID: lo.id, contentType: jsonType}, 6*time.Second)
		lo.w.rec.note("trainer: submits lot %s with %d items: %d %v", lo.id, len(lo.items), status, err)
		if status == http.StatusAccepted {
			lo.accepted, lo.listed = time.Now(), map[string]result{}
			return nil
		}
	}
	return fmt.Errorf("lot %s is not accepted", lo.id)
}

// call asks the next entry.
func (lo *lot) call(ctx context.Context, method, path string, body []byte, header map[string]string, wait time.Duration) (int, []byte, error) {
	pr := lo.entries[lo.calls%len(lo.entries)]
	lo.calls++
	return call(ctx, method, lo.w.front(pr)+path, body, header, wait)
}

// read reads the results after those that were read.
func (lo *lot) read(ctx context.Context) {
	status, data, err := lo.call(ctx, http.MethodGet, fmt.Sprintf("/v1/lots/%s?after=%d", lo.id, len(lo.listed)), nil,
		map[string]string{"X-Wait-Ms": "1000"}, 2500*time.Millisecond)
	var page struct {
		Results []result `json:"results"`
		Total   int      `json:"total"`
	}
	if err != nil || status != http.StatusOK || json.Unmarshal(data, &page) != nil {
		lo.w.rec.note("trainer: reads lot %s from %d: %d %v", lo.id, len(lo.listed), status, err)
		return
	}
	lo.total = page.Total
	for _, re := range page.Results {
		lo.listed[re.ID] = re
	}
	lo.w.rec.note("trainer: reads lot %s: %d results more, %d of %d", lo.id, len(page.Results), len(lo.listed), page.Total)
}

// follow reads about twice a second until all is listed or the trainer's time is over.
func (lo *lot) follow(ctx context.Context, until time.Time, done func() bool) {
	for time.Now().Before(until) && ctx.Err() == nil && !done() {
		begun := time.Now()
		lo.read(ctx)
		time.Sleep(max(0, 500*time.Millisecond-time.Since(begun)))
	}
}

// end ends the lot.
func (lo *lot) end(ctx context.Context) {
	status, _, err := lo.call(ctx, http.MethodDelete, "/v1/lots/"+lo.id, nil, nil, 3*time.Second)
	lo.w.rec.note("trainer: ends lot %s: %d %v", lo.id, status, err)
}

// missing returns the items that are not listed.
func (lo *lot) missing() []string {
	var ids []string
	for _, id := range lo.items {
		if _, ok := lo.listed[id]; !ok {
			ids = append(ids, id)
		}
	}
	return ids
}
