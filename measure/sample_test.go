package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/batch"
	"wisteriacroft/blob"
	"wisteriacroft/engine"
	"wisteriacroft/gate"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
	"wisteriacroft/route"
)

const (
	overloadWait   = 250 * time.Millisecond // as entry.overloadWait
	sampleDeadline = 15 * time.Minute       // of an attempt at a sample
)

// bytesPerToken is the size of a token in a payload.
const bytesPerToken = 8

// An Attempt is an attempt at a sample, at its endpoint.
type Attempt struct {
	attempt  batch.Attempt
	endpoint string
	ended    bool
	reported int // tokens, in the last report of progress
	work     *Work
}

// A Sampler sends the attempts of a batch owner to endpoints, as an entry does,
// and reports the results in a later tick.
type Sampler struct {
	attempts map[string]*Attempt
	order    []string // of attempts, in the order of their start
	world    *World
}

// Start is the owner's StartFunc.
func (sa *Sampler) Start(ba batch.Attempt) bool {
	wo, now := sa.world, time.Now()
	need := route.Need{MinVersion: ba.MinVersion, Service: wo.ca.Service}
	if !wo.policy.NoRoom {
		need.Room = 1
	}
	if ba.Avoid != "" {
		need.Exclude = []string{ba.Avoid}
	}
	if !wo.policy.NoAffinity {
		need.Prefix = ba.Prompt
	}
	en, ok := wo.routes.Pick(now, need)
	if !ok {
		return false
	}
	at := &Attempt{attempt: ba, endpoint: en.ID, work: sa.work(ba)}
	sa.attempts[ba.ID] = at
	sa.order = append(sa.order, ba.ID)
	wo.schedule(now, func(now time.Time) { sa.enqueue(now, at) })
	return true
}

// work returns the engine request of an attempt. If it resumes another attempt, it
// includes that one's tokens and, if its engine is up, the KV cache.
func (sa *Sampler) work(ba batch.Attempt) *Work {
	wo := &Work{
		id:     ba.ID,
		length: sa.world.ca.Lengths.Length(sa.world.seed, ba.Prompt, ba.Seed),
		prefix: ba.Prompt,
		prompt: sa.world.ca.Lengths.PromptSize,
	}
	sl := sa.world.ledger.Slot(ba.Slot)
	if sl.wanted == 0 {
		sl.wanted = wo.length
	}
	if ba.ResumeFrom == nil {
		return wo
	}
	from := sa.attempts[ba.ResumeFrom.Attempt]
	if from == nil || from.work.made == 0 {
		return wo
	}
	wo.length = from.work.length
	wo.made, wo.resumed = from.work.made, from.work.made
	wo.segments = append(wo.segments, from.work.segments...)
	if en := sa.world.attendants[from.endpoint].engine; en.Up(time.Now()) {
		wo.cached = en.version
	}
	return wo
}

// enqueue sends an attempt to its attendant.
func (sa *Sampler) enqueue(now time.Time, at *Attempt) {
	if at.ended {
		return
	}
	ba := at.attempt
	ad := sa.world.attendants[at.endpoint]
	sa.world.owner.Started(ba.ID, at.endpoint, at.endpoint)
	if ad.engine.version < ba.MinVersion {
		sa.HandleRefusal(now, at, outcome.NewRefusal(outcome.Refused, ba.ID, "weights are too old"))
		return
	}
	req := gate.Request{
		Class:    gate.Sample,
		Deadline: now.Add(sampleDeadline),
		ID:       ba.ID,
		Profile:  ba.Profile,
		Trainer:  ba.Slot.Trainer,
	}
	if re := ad.Enqueue(now, req, at.work); re != nil {
		sa.HandleRefusal(now, at, re)
	}
}

// Cancel is the owner's CancelFunc.
func (sa *Sampler) Cancel(id string) {
	at := sa.attempts[id]
	if at == nil || at.ended {
		return
	}
	at.ended = true
	ad := sa.world.attendants[at.endpoint]
	ad.engine.Cancel(id)
	ad.Remove(time.Now(), id, gate.Canceled)
	sa.world.routes.Succeeded(time.Now(), at.endpoint)
}

// HandleRefusal reports to the owner that an attempt did not run.
func (sa *Sampler) HandleRefusal(now time.Time, at *Attempt, re *outcome.Refusal) {
	at.ended = true
	wait := re.RetryDelay()
	if wait == 0 {
		wait = overloadWait
	}
	sa.world.routes.Refused(now, at.endpoint, wait)
	sa.world.owner.Failed(at.attempt.ID, re)
}

// HandleBroken reports to the owner that an attempt's response broke off.
func (sa *Sampler) HandleBroken(now time.Time, at *Attempt) {
	at.ended = true
	sa.world.routes.Failed(now, at.endpoint)
	sa.world.owner.Failed(at.attempt.ID, engine.ErrBroken)
}

// HandleResponse reports a complete response to the owner.
func (sa *Sampler) HandleResponse(now time.Time, at *Attempt) {
	at.ended = true
	sa.world.routes.Succeeded(now, at.endpoint)
	data := fmt.Append(nil, at.attempt.Slot, at.work.segments)
	sa.world.owner.Finished(at.attempt.ID, message.SampleResult{
		Digest:   blob.Digest(data),
		Endpoint: at.endpoint,
		Places:   sa.world.places,
		Segments: at.work.segments,
		Size:     bytesPerToken * at.work.made,
		Tokens:   at.work.made,
	})
}

// Progress reports the tokens of attempts with progress since the last report.
func (sa *Sampler) Progress() {
	kept := sa.order[:0:0]
	for _, id := range sa.order {
		at := sa.attempts[id]
		if at.ended {
			continue
		}
		kept = append(kept, id)
		if at.work.made > at.reported {
			at.reported = at.work.made
			ve := at.work.segments[len(at.work.segments)-1].Version
			sa.world.owner.Progress(id, at.work.made, ve)
		}
	}
	sa.order = kept
}

// Count adds the tokens that attempts generated to their slots.
func (sa *Sampler) Count() {
	for _, at := range sa.attempts {
		sa.world.ledger.Slot(at.attempt.Slot).made += at.work.made - at.work.resumed
	}
}

// A PayloadStore keeps replicated payloads in memory.
type PayloadStore struct {
	payloads map[string][]byte
	places   []message.BlobLocation
}

// Replicate is the owner's ReplicateFunc.
func (ps *PayloadStore) Replicate(_ context.Context, data []byte) ([]message.BlobLocation, error) {
	ps.payloads[blob.Digest(data)] = data
	return ps.places, nil
}

// Fetch is the owner's FetchFunc. The payloads of samples are not stored,
// since nothing reads them.
func (ps *PayloadStore) Fetch(_ context.Context, _ []message.BlobLocation, digest string) ([]byte, error) {
	data, ok := ps.payloads[digest]
	if !ok {
		return nil, errors.Wrap(blob.ErrMissing, digest)
	}
	return data, nil
}
