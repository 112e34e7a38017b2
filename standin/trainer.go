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
	maxBatch   = 1 << 30                // in bytes
	pullWait   = 5 * time.Second        // how long an entry may hold a pull
	askTimeout = 30 * time.Second       // of any exchange with an entry
	retryWait  = 100 * time.Millisecond // unless the entry names another
)

// A TrainerSummary is what a trainer saw.
type TrainerSummary struct {
	Damaged       int     `json:"damaged"` // not whole, or not what was asked for
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

// A slot is a sample that a trainer wants.
type slot struct{ step, group, member int }

// A Trainer asks for steps, takes their batches, checks each sample, and
// publishes new weights after each step.
type Trainer struct {
	// DigestFunc returns a payload's digest, given its line. NewTrainer sets it
	// to SHA-256 in hex.
	DigestFunc func(line []byte) string
	// ScoreFunc returns a sample's score.
	ScoreFunc func(message.Payload) float64

	asked     int // steps that were asked for
	cursor    message.Cursor
	entries   entries
	hc        *http.Client
	idle      time.Duration
	journal   journal
	pulled    atomic.Int64 // step that is pulled
	samples   atomic.Int64 // taken
	settings  TrainerSettings
	staleness int
	sum       TrainerSummary
	taken     map[slot]int
	trained   time.Duration
	weights   weights
}

// NewTrainer returns a trainer of checked settings. platform is the base URL
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

// Run trains until the last step, from the batch after the last one that the
// record file holds.
func (tr *Trainer) Run(ctx context.Context) (TrainerSummary, error) {
	step, err := tr.resume(ctx)
	defer func() { tr.journal.close() }()
	for err == nil && step < tr.settings.Steps {
		var whole bool
		if whole, err = tr.takeBatch(ctx, step); whole {
			step++
		}
	}
	return tr.summary(), errors.Wrapf(err, "trainer %s", tr.settings.Name)
}

// resume rebuilds what the record file holds and returns the step to take.
func (tr *Trainer) resume(ctx context.Context) (step int, err error) {
	var records []Record
	if tr.journal, records, err = openJournal(tr.settings.Record); err != nil {
		return 0, err
	}
	tr.cursor = message.Cursor{Incarnation: uint64(time.Now().UnixNano()), Step: -1, Version: 1}
	for _, re := range records {
		tr.remember(re)
		tr.cursor.Version = re.Version
		step = re.Step
		if re.Whole {
			step++
		}
	}
	tr.asked = step
	return step, tr.renew(ctx, http.MethodGet)
}

// renew publishes (POST) or reads (GET) the version to train.
func (tr *Trainer) renew(ctx context.Context, method string) error {
	if tr.weights.model == "" {
		return nil
	}
	we, err := tr.weights.call(ctx, method)
	if err == nil {
		tr.cursor.Version = we.Version
	}
	return err
}

// takeBatch takes the next batch, trains on it and tells whether it ends step.
func (tr *Trainer) takeBatch(ctx context.Context, step int) (whole bool, err error) {
	for ; tr.asked < min(step+tr.settings.StepsAhead+1, tr.settings.Steps); tr.asked++ {
		if err := tr.askStep(ctx, tr.asked); err != nil {
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
	if err := tr.journal.add(re); err != nil {
		return false, err
	}
	tr.remember(re)
	samples := max(1, tr.settings.Groups*tr.settings.Members)
	began = time.Now()
	sleep(ctx, time.Duration(tr.settings.TrainTime)*time.Duration(len(re.Samples))/time.Duration(samples))
	tr.trained += time.Since(began)
	if !re.Whole {
		return false, ctx.Err()
	}
	if tr.settings.Follows {
		return true, tr.renew(ctx, http.MethodGet)
	}
	return true, tr.renew(ctx, http.MethodPost)
}

// prompt returns the prompt of a group, the same for each of its members.
func (tr *Trainer) prompt(step, group int) string {
	return fmt.Sprintf("%s-%d: step %d, group %d", tr.settings.Name, tr.settings.Seed, step, group)
}

// path returns a path of the trainer's requests.
func (tr *Trainer) path(format string, args ...any) string {
	return "/v1/trainers/" + url.PathEscape(tr.settings.Name) + fmt.Sprintf(format, args...)
}

// askStep asks an entry for a step's samples.
func (tr *Trainer) askStep(ctx context.Context, step int) error {
	req := message.StepRequest{Profile: tr.settings.Profile}
	for group := range tr.settings.Groups {
		req.Groups = append(req.Groups, message.Group{
			MaxTokens: tr.settings.MaxTokens, Members: tr.settings.Members, Prompt: tr.prompt(step, group),
		})
	}
	_, err := tr.ask(ctx, http.MethodPut, tr.path("/steps/%d", step), req)
	return errors.Wrapf(err, "ask for step %d", step)
}

// pull waits for the next batch and returns its lines, by slot.
func (tr *Trainer) pull(ctx context.Context) (message.PullResponse, [][]byte, error) {
	for {
		var pa message.PullResponse
		req := message.PullRequest{Cursor: tr.cursor, Wait: pullWait.String()}
		data, err := tr.ask(ctx, http.MethodPost, tr.path("/pull"), req)
		if err != nil {
			return pa, nil, errors.Wrap(err, "pull")
		}
		if err := json.Unmarshal(data, &pa); err != nil {
			return pa, nil, errors.Wrap(err, "decode a pull's answer")
		}
		if pa.Batch == "" {
			sleep(ctx, retryAfter(pa.RetryAfter))
			continue
		}
		data, err = tr.ask(ctx, http.MethodGet, tr.path("/batches/%s", url.PathEscape(pa.Batch)), nil)
		if err != nil {
			return pa, nil, errors.Wrapf(err, "batch %s", pa.Batch)
		}
		lines := bytes.Split(bytes.TrimSuffix(data, []byte("\n")), []byte("\n"))
		if len(lines) == len(pa.Manifest) {
			return pa, lines, nil
		}
		tr.entries.next() // cut short: ask for it again
		sleep(ctx, retryWait)
	}
}

// ask sends a request to one entry after another until one answers, and
// returns the answer's body. It gives up on a bad request only.
func (tr *Trainer) ask(ctx context.Context, method, path string, in any) ([]byte, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	for ctx.Err() == nil {
		data, re, err := tr.askOnce(ctx, method, tr.entries.current()+path, body)
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

// askOnce sends a request to one entry and returns the answer's body or the
// refusal.
func (tr *Trainer) askOnce(ctx context.Context, method, url string, body []byte) ([]byte, *outcome.Refusal, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

// retryAfter returns how long to wait, given what a refusal says.
func retryAfter(text string) time.Duration {
	wait, err := time.ParseDuration(text)
	if err != nil || wait <= 0 {
		return retryWait
	}
	return min(wait, pullWait)
}

// check checks a batch's samples against what was asked for and what the
// engines' tokens tell.
func (tr *Trainer) check(ctx context.Context, pull message.PullResponse, lines [][]byte) Record {
	re := Record{
		Batch: pull.Batch, Digest: pull.Digest, Step: pull.Step, Version: tr.cursor.Version, Whole: pull.Whole,
	}
	for i, line := range lines {
		var pa message.Payload
		err := json.Unmarshal(line, &pa)
		en := pull.Manifest[i]
		sa := SampleRecord{
			Damaged:       err != nil || tr.DigestFunc(line) != en.Digest || !tr.asWanted(pull.Step, en, pa),
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
			_, _, _ = tr.askOnce(ctx, http.MethodPost, tr.entries.current()+path, line)
		}
		re.Samples = append(re.Samples, sa)
	}
	return re
}

// asWanted tells whether a payload is whole and the one that its slot wants.
func (tr *Trainer) asWanted(step int, en message.SampleEntry, pa message.Payload) bool {
	return pa.Trainer == tr.settings.Name && pa.Step == step &&
		pa.Group == en.Group && pa.Member == en.Member &&
		pa.Group >= 0 && pa.Group < tr.settings.Groups &&
		pa.Member >= 0 && pa.Member < tr.settings.Members &&
		pa.Prompt == tr.prompt(step, pa.Group) &&
		Whole(pa.Prompt, pa.Tokens, tr.settings.MaxTokens)
}

// remember counts a record and moves the cursor behind it.
func (tr *Trainer) remember(re Record) {
	tr.cursor.Batch, tr.cursor.Digest, tr.cursor.Step = re.Batch, re.Digest, re.Step
	tr.samples.Add(int64(len(re.Samples)))
	for _, sa := range re.Samples {
		tr.taken[slot{re.Step, sa.Group, sa.Member}]++
		tr.staleness += sa.Staleness
		tr.sum.Damaged += count(sa.Damaged)
		tr.sum.Misattributed += count(sa.Misattributed)
		tr.sum.Stale += count(sa.Staleness > tr.settings.StalenessBound)
	}
}

// count returns 1 for true.
func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// wanted returns how many samples all steps have.
func (tr *Trainer) wanted() int { return tr.settings.Steps * tr.settings.Groups * tr.settings.Members }

// summary returns what the trainer saw.
func (tr *Trainer) summary() TrainerSummary {
	sum := tr.sum
	sum.Name = tr.settings.Name
	sum.Wanted = tr.wanted()
	all := 0
	for sl, times := range tr.taken {
		all += times
		sum.Doubled += times - 1
		sum.Delivered += count(sl.step < tr.settings.Steps)
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
