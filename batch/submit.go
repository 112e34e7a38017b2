package batch

import (
	"context"
	"encoding/json"
	"time"

	"wisteriacroft/blob"
	"wisteriacroft/lease"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
)

// MaxSamples bounds the samples of a step, so that a trainer's manifests fit into one value of the
// key-value service.
const MaxSamples = 2048

// Submit accepts the request for a step. When it returns, the request's body is in the data folders
// and the ledger refers to it. An error is a *outcome.Refusal; if its outcome is unknown, submit
// the same request again. A restarted trainer must pull first, so that its cursor is known.
func (ow *Owner) Submit(
	ctx context.Context, name string, number int, req message.StepRequest,
) (message.StepResponse, error) {
	if err := checkRequest(number, &req); err != nil {
		return message.StepResponse{}, err
	}
	body, err := json.Marshal(req)
	if err != nil {
		return message.StepResponse{}, refuse(outcome.BadRequest, "encode step %d: %v", number, err)
	}
	digest := blob.Digest(body)
	for {
		su := ow.submitted(name, number, digest)
		if su.err != nil {
			return message.StepResponse{}, su.err
		}
		if su.accepted {
			return message.StepResponse{Samples: count(&req), Step: number}, nil
		}
		if su.changed != nil {
			select {
			case <-ctx.Done():
				return message.StepResponse{}, refuse(outcome.OutcomeUnknown, "step %d may be accepted later", number)
			case <-su.changed:
			}
			continue
		}
		places, err := ow.ReplicateFunc(ctx, body)
		if len(places) == 0 {
			return message.StepResponse{}, refuse(outcome.Overloaded, "no data folder took step %d: %v", number, err)
		}
		ow.locked(func() { ow.accept(name, number, digest, places, &req) })
	}
}

// A submission is the state of a request for a step. In its zero value the body has yet to be
// replicated.
type submission struct {
	accepted bool
	changed  <-chan struct{}
	err      error
}

// submitted returns the state of a request.
func (ow *Owner) submitted(name string, number int, digest string) submission {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	tr := ow.trainer(name)
	if tr == nil {
		return submission{err: notOwned(name)}
	}
	epoch, st := ow.LeaseFunc(name, time.Now())
	sp := tr.step(number)
	switch {
	case st == lease.NotHeld:
		return submission{err: notOwned(name)}
	case st == lease.Held && (!tr.loaded || epoch != tr.epoch):
		return submission{changed: tr.changed}
	case !tr.loaded || epoch != tr.epoch:
		return submission{err: notOwned(name)}
	case st == lease.Unconfirmed:
		// A later owner may have rewound the trainer to before the step.
		return submission{err: refuse(outcome.Refused, "the key-value service is away: step %d can't be recorded", number)}
	case sp != nil && sp.digest != digest:
		return submission{err: refuse(outcome.BadRequest, "step %d was submitted with other content", number)}
	case sp != nil && sp.lost:
		return submission{}
	case sp != nil && sp.seq > tr.published:
		return submission{changed: tr.changed}
	case sp != nil:
		return submission{accepted: true}
	case !tr.isNextStep(number):
		return submission{err: refuse(outcome.BadRequest, "step %d does not follow step %d", number, tr.lastStep())}
	case tr.pending() >= tr.policy.maxOpenSteps():
		return submission{err: refuse(outcome.Overloaded, "%d steps are open", tr.open())}
	default:
		return submission{}
	}
}

// accept adds a step, or restores its lost request.
func (ow *Owner) accept(name string, number int, digest string, places []message.BlobLocation, req *message.StepRequest) {
	tr := ow.trainer(name)
	if tr == nil || ow.leaseState(tr, time.Now()) == lease.NotHeld {
		return
	}
	sp := tr.step(number)
	switch {
	case sp == nil && tr.isNextStep(number) && tr.pending() < tr.policy.maxOpenSteps():
		sp = &step{accepted: time.Now(), digest: digest, number: number, profile: req.Profile, samples: count(req)}
		tr.steps = append(tr.steps, sp)
	case sp == nil || !sp.lost || sp.digest != digest:
		return // submitted twice concurrently
	}
	sp.places = places
	sp.seq = tr.markChanged()
	sp.setRequest(req)
	tr.notify()
}

// lastStep returns the highest submitted or taken step, or -1.
func (tr *trainer) lastStep() int {
	last := -1
	if po, err := positionOf(tr.cursor); err == nil {
		last = po.step
	}
	if len(tr.steps) > 0 {
		last = max(last, tr.steps[len(tr.steps)-1].number)
	}
	return last
}

// isNextStep reports whether a step is the next to be submitted. Numbers must be contiguous: a late
// request could otherwise replace a step that was dropped by a rewind. Before the first pull any
// number is accepted.
func (tr *trainer) isNextStep(number int) bool {
	switch {
	case len(tr.steps) > 0 || tr.cursor.Batch != "":
		return number == tr.lastStep()+1
	case tr.cursor == message.Cursor{}:
		return true
	default: // some trainers send 0 instead of -1 before their first step
		return number == tr.cursor.Step+1 || number == tr.cursor.Step
	}
}

// checkRequest returns a refusal if a request is malformed.
func checkRequest(number int, req *message.StepRequest) error {
	if number < 0 || len(req.Groups) == 0 {
		return refuse(outcome.BadRequest, "step %d has %d groups", number, len(req.Groups))
	}
	samples := 0
	for gi, gr := range req.Groups {
		if gr.Members < 1 || gr.MaxTokens < 1 || gr.Members > MaxSamples {
			return refuse(outcome.BadRequest, "step %d: group %d: %d members of at most %d tokens",
				number, gi, gr.Members, gr.MaxTokens)
		}
		samples += gr.Members
	}
	if samples > MaxSamples {
		return refuse(outcome.BadRequest, "step %d: %d samples, at most %d", number, samples, MaxSamples)
	}
	return nil
}
