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
	sampleDeadline = 15 * time.Minute       // of an attempt
)

// bytesPerToken is what a payload keeps of a token.
const bytesPerToken = 8

// An Attempt is an attempt at a sample, at its endpoint.
type Attempt struct {
	attempt  batch.Attempt
	endpoint string
	ended    bool
	told     int // tokens, in the last report of progress
	work     *Work
}

// A Sampler carries the attempts of a batch owner to endpoints, as an entry
// does, and reports back in a later tick.
type Sampler struct {
	attempts map[string]*Attempt
	order    []string // of attempts, by start
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
	wo.later(now, func(now time.Time) { sa.enter(now, at) })
	return true
}

// work returns what an attempt asks of its engine. One that resumes another
// brings the tokens made so far and, if a version still fits, their KV cache.
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

// enter brings an attempt to its attendant.
func (sa *Sampler) enter(now time.Time, at *Attempt) {
	if at.ended {
		return
	}
	ba := at.attempt
	ten := sa.world.attendants[at.endpoint]
	sa.world.owner.Started(ba.ID, at.endpoint, at.endpoint)
	if ten.engine.version < ba.MinVersion {
		sa.Refused(now, at, outcome.NewRefusal(outcome.Refused, ba.ID, "weights are too old"))
		return
	}
	req := gate.Request{
		Class:    gate.Sample,
		Deadline: now.Add(sampleDeadline),
		ID:       ba.ID,
		Profile:  ba.Profile,
		Trainer:  ba.Slot.Trainer,
	}
	if re := ten.Enter(now, req, at.work); re != nil {
		sa.Refused(now, at, re)
	}
}

// Cancel is the owner's CancelFunc.
func (sa *Sampler) Cancel(id string) {
	at := sa.attempts[id]
	if at == nil || at.ended {
		return
	}
	at.ended = true
	ten := sa.world.attendants[at.endpoint]
	ten.engine.Cancel(id)
	ten.Leave(time.Now(), id, gate.Canceled)
	sa.world.routes.Succeeded(time.Now(), at.endpoint)
}

// Refused takes the word that an attempt did not run.
func (sa *Sampler) Refused(now time.Time, at *Attempt, re *outcome.Refusal) {
	at.ended = true
	wait := re.RetryDelay()
	if wait == 0 {
		wait = overloadWait
	}
	sa.world.routes.Refused(now, at.endpoint, wait)
	sa.world.owner.Failed(at.attempt.ID, re)
}

// Broken takes the word that an attempt's answer broke off.
func (sa *Sampler) Broken(now time.Time, at *Attempt) {
	at.ended = true
	sa.world.routes.Failed(now, at.endpoint)
	sa.world.owner.Failed(at.attempt.ID, engine.ErrBroken)
}

// Done takes a whole answer.
func (sa *Sampler) Done(now time.Time, at *Attempt) {
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

// Progress reports the tokens that were made since the last report.
func (sa *Sampler) Progress() {
	kept := sa.order[:0:0]
	for _, id := range sa.order {
		at := sa.attempts[id]
		if at.ended {
			continue
		}
		kept = append(kept, id)
		if at.work.made > at.told {
			at.told = at.work.made
			ve := at.work.segments[len(at.work.segments)-1].Version
			sa.world.owner.Progress(id, at.work.made, ve)
		}
	}
	sa.order = kept
}

// Count adds the tokens that attempts made to their slots.
func (sa *Sampler) Count() {
	for _, at := range sa.attempts {
		sa.world.ledger.Slot(at.attempt.Slot).made += at.work.made - at.work.resumed
	}
}

// A Folder keeps what is replicated, in memory.
type Folder struct {
	payloads map[string][]byte
	places   []message.BlobLocation
}

// Replicate is the owner's ReplicateFunc.
func (fo *Folder) Replicate(_ context.Context, data []byte) ([]message.BlobLocation, error) {
	fo.payloads[blob.Digest(data)] = data
	return fo.places, nil
}

// Fetch is the owner's FetchFunc. The payloads of samples are not kept: they
// are there, and nothing reads them.
func (fo *Folder) Fetch(_ context.Context, _ []message.BlobLocation, digest string) ([]byte, error) {
	data, ok := fo.payloads[digest]
	if !ok {
		return nil, errors.Wrap(blob.ErrMissing, digest)
	}
	return data, nil
}
