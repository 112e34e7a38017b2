package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/roundtrip"
	"wisteriacroft/weightstore"
)

const (
	maxBatch       = 1 << 30                // in bytes
	pullWait       = 5 * time.Second        // how long an entry may delay the response to a pull
	requestTimeout = 30 * time.Second       // of any request to an entry
	retryWait      = 100 * time.Millisecond // unless the entry returns another
)

// A TrainerSummary counts the samples that a trainer received.
type TrainerSummary struct {
	Damaged       int     `json:"damaged"` // incomplete, or not what was requested
	Delivered     int     `json:"delivered"`
	Doubled       int     `json:"doubled"`
	IdleRatio     float64 `json:"idle-ratio"`
	Lost          int     `json:"lost"`
	Misattributed int     `json:"misattributed"`
	Name          string  `json:"name"`
	Stale         int     `json:"stale"`
	StalenessMean float64 `json:"staleness-mean"` // in versions
	Wanted        int     `json:"wanted"`
}

// A slot identifies a sample that a trainer requests.
type slot struct{ step, group, member int }

// A Trainer submits steps, pulls their batches, checks each sample, and publishes
// new weights after each step.
type Trainer struct {
	// DigestFunc returns a payload's digest, given its line. NewTrainer sets it
	// to SHA-256 in hex.
	DigestFunc func(line []byte) string
	// ScoreFunc returns a sample's score.
	ScoreFunc func(message.Payload) float64

	submitted int // steps
	cursor    message.Cursor
	entries   entries
	hc        *http.Client
	idle      time.Duration
	records   recordFile
	pulled    atomic.Int64 // step being pulled
	samples   atomic.Int64 // received
	settings  TrainerSettings
	staleness int
	sum       TrainerSummary
	taken     map[slot]int
	trained   time.Duration
	weights   weights
}

// NewTrainer returns a trainer of validated settings. platform is the base URL
// of the weight store, or "".
func NewTrainer(se TrainerSettings, addresses []string, platform string, hc *http.Client) *Trainer {
	tr := &Trainer{
		DigestFunc: func(line []byte) string { sum := sha256.Sum256(line); return hex.EncodeToString(sum[:]) },
		ScoreFunc:  func(pa message.Payload) float64 { return 1 / float64(1+len(pa.Tokens)) },
		entries:    entries{addresses: addresses},
		hc:         hc,
		settings:   se,
		taken:      map[slot]int{},
	}
	if platform != "" && se.Model != "" {
		tr.weights = weights{client: roundtrip.New(platform, hc, weightstore.ErrUnavailable), model: se.Model}
	}
	return tr
}

// Run trains until the last step, starting after the last batch in the record
// file.
func (tr *Trainer) Run(ctx context.Context) (TrainerSummary, error) {
	step, err := tr.resume(ctx)
	defer func() { tr.records.close() }()
	for err == nil && step < tr.settings.Steps {
		var whole bool
		if whole, err = tr.takeBatch(ctx, step); whole {
			step++
		}
	}
	return tr.summary(), errors.Wrapf(err, "trainer %s", tr.settings.Name)
}

// resume restores the state from the record file and returns the next step.
func (tr *Trainer) resume(ctx context.Context) (step int, err error) {
	var records []Record
	if tr.records, records, err = openRecordFile(tr.settings.Record); err != nil {
		return 0, err
	}
	tr.cursor = message.Cursor{Incarnation: uint64(time.Now().UnixNano()), Step: -1, Version: 1}
	for _, re := range records {
		tr.applyRecord(re)
		tr.cursor.Version = re.Version
		step = re.Step
		if re.Whole {
			step++
		}
	}
	tr.submitted = step
	return step, tr.updateVersion(ctx, http.MethodGet)
}

// updateVersion publishes (POST) or reads (GET) the version to train, and stores it in
// the cursor.
func (tr *Trainer) updateVersion(ctx context.Context, method string) error {
	if tr.weights.model == "" {
		return nil
	}
	we, err := tr.weights.call(ctx, method)
	if err == nil {
		tr.cursor.Version = we.Version
	}
	return err
}

// takeBatch pulls the next batch, trains on it and reports whether it completes
// step.
func (tr *Trainer) takeBatch(ctx context.Context, step int) (whole bool, err error) {
	for ; tr.submitted < min(step+tr.settings.StepsAhead+1, tr.settings.Steps); tr.submitted++ {
		if err := tr.submitStep(ctx, tr.submitted); err != nil {
			return false, err
		}
	}
	tr.pulled.Store(int64(step))
	began := time.Now()
	pull, lines, err := tr.pull(ctx)
	if err != nil {
		return false, err
	}
	tr.idle += time.Since(began)
	re := tr.check(ctx, pull, lines)
	if err := tr.records.add(re); err != nil {
		return false, err
	}
	tr.applyRecord(re)
	samples := max(1, tr.settings.Groups*tr.settings.Members)
	began = time.Now()
	sleep(ctx, time.Duration(tr.settings.TrainTime)*time.Duration(len(re.Samples))/time.Duration(samples))
	tr.trained += time.Since(began)
	if !re.Whole {
		return false, ctx.Err()
	}
	if tr.settings.Follows {
		return true, tr.updateVersion(ctx, http.MethodGet)
	}
	return true, tr.updateVersion(ctx, http.MethodPost)
}

// prompt returns the prompt of a group, the same for each of its members.
func (tr *Trainer) prompt(step, group int) string {
	return fmt.Sprintf("%s-%d: step %d, group %d", tr.settings.Name, tr.settings.Seed, step, group)
}

// path returns a request path below the trainer's own.
func (tr *Trainer) path(format string, args ...any) string {
	return "/v1/trainers/" + url.PathEscape(tr.settings.Name) + fmt.Sprintf(format, args...)
}

// submitStep submits a step to an entry.
func (tr *Trainer) submitStep(ctx context.Context, step int) error {
	req := message.StepRequest{Profile: tr.settings.Profile}
	for group := range tr.settings.Groups {
		req.Groups = append(req.Groups, message.Group{
			MaxTokens: tr.settings.MaxTokens, Members: tr.settings.Members, Prompt: tr.prompt(step, group),
		})
	}
	_, err := tr.request(ctx, http.MethodPut, tr.path("/steps/%d", step), req)
	return errors.Wrapf(err, "submit step %d", step)
}

// pull waits for the next batch and returns its lines, in the manifest's order.
func (tr *Trainer) pull(ctx context.Context) (message.PullResponse, [][]byte, error) {
	for {
		var pa message.PullResponse
		req := message.PullRequest{Cursor: tr.cursor, Wait: pullWait.String()}
		data, err := tr.request(ctx, http.MethodPost, tr.path("/pull"), req)
		if err != nil {
			return pa, nil, errors.Wrap(err, "pull")
		}
		if err := json.Unmarshal(data, &pa); err != nil {
			return pa, nil, errors.Wrap(err, "decode pull response")
		}
		if pa.Batch == "" {
			sleep(ctx, retryAfter(pa.RetryAfter))
			continue
		}
		data, err = tr.request(ctx, http.MethodGet, tr.path("/batches/%s", url.PathEscape(pa.Batch)), nil)
		if err != nil {
			return pa, nil, errors.Wrapf(err, "batch %s", pa.Batch)
		}
		lines := bytes.Split(bytes.TrimSuffix(data, []byte("\n")), []byte("\n"))
		if len(lines) == len(pa.Manifest) {
			return pa, lines, nil
		}
		tr.entries.next() // truncated: request it again
		sleep(ctx, retryWait)
	}
}

// request sends a request to one entry after another until one succeeds, and
// returns the response body. It stops only on a bad request or when ctx ends.
func (tr *Trainer) request(ctx context.Context, method, path string, in any) ([]byte, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	for ctx.Err() == nil {
		data, re, err := tr.requestOnce(ctx, method, tr.entries.current()+path, body)
		if err == nil && re == nil {
			return data, nil
		}
		wait := retryWait
		if re != nil {
			if re.Code == outcome.BadRequest {
				return nil, re
			}
			wait = retryAfter(re.RetryAfter)
		}
		tr.entries.next()
		sleep(ctx, wait)
	}
	return nil, ctx.Err()
}

// requestOnce sends a request to one entry and returns the response body or the
// refusal.
func (tr *Trainer) requestOnce(ctx context.Context, method, url string, body []byte) ([]byte, *outcome.Refusal, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	resp, err := tr.hc.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return nil, refusalOf(resp), nil
	}
	data, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxBatch))
	return data, nil, err
}

// retryAfter parses the retry delay of a refusal, at most pullWait.
func retryAfter(text string) time.Duration {
	wait, err := time.ParseDuration(text)
	if err != nil || wait <= 0 {
		return retryWait
	}
	return min(wait, pullWait)
}

// check checks a batch's samples against the request and the origin of their
// tokens.
func (tr *Trainer) check(ctx context.Context, pull message.PullResponse, lines [][]byte) Record {
	re := Record{
		Batch: pull.Batch, Digest: pull.Digest, Step: pull.Step, Version: tr.cursor.Version, Whole: pull.Whole,
	}
	for i, line := range lines {
		var pa message.Payload
		err := json.Unmarshal(line, &pa)
		en := pull.Manifest[i]
		sa := SampleRecord{
			Damaged:       err != nil || tr.DigestFunc(line) != en.Digest || !tr.matchesSlot(pull.Step, en, pa),
			Digest:        en.Digest,
			Group:         en.Group,
			Member:        en.Member,
			Misattributed: !Attributed(pa.Prompt, pa.Tokens, pa.Segments),
			Score:         tr.ScoreFunc(pa),
		}
		for _, se := range pa.Segments {
			sa.Staleness = max(sa.Staleness, int(tr.cursor.Version)-int(se.Version))
		}
		if tr.settings.Scorer != "" {
			path := fmt.Sprintf("/v1/services/%s/call/scores/%s", tr.settings.Scorer, url.PathEscape(en.Digest))
			_, _, _ = tr.requestOnce(ctx, http.MethodPost, tr.entries.current()+path, line)
		}
		re.Samples = append(re.Samples, sa)
	}
	return re
}

// matchesSlot reports whether a payload is complete and belongs to its slot.
func (tr *Trainer) matchesSlot(step int, en message.SampleEntry, pa message.Payload) bool {
	return pa.Trainer == tr.settings.Name && pa.Step == step &&
		pa.Group == en.Group && pa.Member == en.Member &&
		pa.Group >= 0 && pa.Group < tr.settings.Groups &&
		pa.Member >= 0 && pa.Member < tr.settings.Members &&
		pa.Prompt == tr.prompt(step, pa.Group) &&
		Whole(pa.Prompt, pa.Tokens, tr.settings.MaxTokens)
}

// applyRecord counts a record's samples and advances the cursor.
func (tr *Trainer) applyRecord(re Record) {
	tr.cursor.Batch, tr.cursor.Digest, tr.cursor.Step = re.Batch, re.Digest, re.Step
	tr.samples.Add(int64(len(re.Samples)))
	for _, sa := range re.Samples {
		tr.taken[slot{re.Step, sa.Group, sa.Member}]++
		tr.staleness += sa.Staleness
		tr.sum.Damaged += boolToInt(sa.Damaged)
		tr.sum.Misattributed += boolToInt(sa.Misattributed)
		tr.sum.Stale += boolToInt(sa.Staleness > tr.settings.StalenessBound)
	}
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// wanted returns the number of samples of all steps.
func (tr *Trainer) wanted() int { return tr.settings.Steps * tr.settings.Groups * tr.settings.Members }

// summary returns the trainer's totals.
func (tr *Trainer) summary() TrainerSummary {
	sum := tr.sum
	sum.Name = tr.settings.Name
	sum.Wanted = tr.wanted()
	all := 0
	for sl, times := range tr.taken {
		all += times
		sum.Doubled += times - 1
		sum.Delivered += boolToInt(sl.step < tr.settings.Steps)
	}
	sum.Lost = sum.Wanted - sum.Delivered
	if all > 0 {
		sum.StalenessMean = float64(tr.staleness) / float64(all)
	}
	if total := tr.idle + tr.trained; total > 0 {
		sum.IdleRatio = tr.idle.Seconds() / total.Seconds()
	}
	return sum
}
