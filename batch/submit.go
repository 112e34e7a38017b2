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

// MaxSamples bounds a step, so that the manifests that a trainer's ledger keeps
// fit in one value of the key-value service.
const MaxSamples = 2048

// Submit accepts the request for a step's samples: its body is in the data
// folders and the ledger names it before the answer goes out. A refusal is a
// *outcome.Refusal; if the fate is unknown, submit the same again. A trainer that
// has restarted pulls before it submits, so that its cursor is known.
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

// A submission is how far the request for a step is. With neither an error, nor
// acceptance, nor a change to wait for, its body is to be replicated.
type submission struct {
	accepted bool
	changed  <-chan struct{}
	err      error
}

// submitted returns how far a request is.
func (ow *Owner) submitted(name string, number int, digest string) submission {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	tr := ow.trainer(name)
	if tr == nil {
		return submission{err: notHome(name)}
	}
	epoch, st := ow.LeaseFunc(name, time.Now())
	sp := tr.step(number)
	switch {
	case st == lease.NotHeld:
		return submission{err: notHome(name)}
	case st == lease.Held && (!tr.loaded || epoch != tr.epoch):
		return submission{changed: tr.changed}
	case !tr.loaded || epoch != tr.epoch:
		return submission{err: notHome(name)}
	case st == lease.Unconfirmed:
		// A later owner may have gone back behind the step with its trainer.
		return submission{err: refuse(outcome.Refused, "the key-value service is away: step %d can't be recorded", number)}
	case sp != nil && sp.digest != digest:
		return submission{err: refuse(outcome.BadRequest, "step %d was submitted with other content", number)}
	case sp != nil && sp.lost:
		return submission{}
	case sp != nil && sp.seq > tr.published:
		return submission{changed: tr.changed}
	case sp != nil:
		return submission{accepted: true}
	case !tr.expects(number):
		return submission{err: refuse(outcome.BadRequest, "step %d does not follow step %d", number, tr.last())}
	case tr.pending() >= tr.policy.maxOpenSteps():
		return submission{err: refuse(outcome.Overloaded, "%d steps are open", tr.open())}
	default:
		return submission{}
	}
}

// accept adds a step, or gives one its lost request back.
func (ow *Owner) accept(name string, number int, digest string, places []message.BlobLocation, req *message.StepRequest) {
	tr := ow.trainer(name)
	if tr == nil || ow.stands(tr, time.Now()) == lease.NotHeld {
		return
	}
	sp := tr.step(number)
	switch {
	case sp == nil && tr.expects(number) && tr.pending() < tr.policy.maxOpenSteps():
		sp = &step{accepted: time.Now(), digest: digest, number: number, profile: req.Profile, samples: count(req)}
		tr.steps = append(tr.steps, sp)
	case sp == nil || !sp.lost || sp.digest != digest:
		return // submitted twice at one time
	}
	sp.places = places
	sp.seq = tr.touch()
	sp.setRequest(req)
	tr.wake()
}

// last returns the highest step that was submitted or taken, or -1.
func (tr *trainer) last() int {
	last := -1
	if po, err := positionOf(tr.cursor); err == nil {
		last = po.step
	}
	if len(tr.steps) > 0 {
		last = max(last, tr.steps[len(tr.steps)-1].number)
	}
	return last
}

// expects reports whether a step is the next to be submitted. Steps follow each
// other without gaps: a request that was long on its way could else put a step
// in place of one that the trainer has submitted and that was forgotten when it
// went back. Before the first pull of all, any number may be the first.
func (tr *trainer) expects(number int) bool {
	switch {
	case len(tr.steps) > 0 || tr.cursor.Batch != "":
		return number == tr.last()+1
	case tr.cursor == message.Cursor{}:
		return true
	default: // some trainers say 0, not -1, before their first step
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
