package batch

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"wisteriacroft/engine"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
)

// A checkpoint is the state that a trainer restores after a restart.
type checkpoint struct {
	cursor message.Cursor
	taken  map[SlotID]string // digests by slot
}

// A fakeTrainer records the samples that it receives. Invariants are checked against this record
// and against the fake engine's output, not against what owners report.
type fakeTrainer struct {
	checkpoint
	ahead      int          // number of steps to submit before the current one is received
	eager      bool         // submits due steps before it pulls again
	edition    int          // edition of the requested prompts
	idle       bool         // sends no requests
	pulled     bool         // whether it has pulled since its last start
	older      []checkpoint // checkpoints before each received batch
	retryAt    time.Time    // time of the next pull
	submitted  int          // number of accepted steps
	submitting chan error
	version    engine.Version
	wanted     int // number of steps in the run
	wo         *world
}

func newTrainer(wo *world) *fakeTrainer {
	return &fakeTrainer{
		checkpoint: checkpoint{cursor: message.Cursor{Step: -1}, taken: map[SlotID]string{}},
		version:    1,
		wanted:     2,
		wo:         wo,
	}
}

func (tr *fakeTrainer) request(step int) message.StepRequest {
	return message.StepRequest{Profile: "grading", Groups: []message.Group{
		{MaxTokens: 40, Members: 2, Prompt: fmt.Sprintf("scaffold %d.%d", tr.edition, step)},
		{MaxTokens: 40, Members: 2, Prompt: fmt.Sprintf("groundworks %d.%d", tr.edition, step)},
	}}
}

// submit sends the next step to a node unless a submission is in flight.
func (tr *fakeTrainer) submit(no *node) {
	if tr.submitting != nil {
		select {
		case err := <-tr.submitting:
			tr.submitting = nil
			if err == nil {
				tr.wo.note("step %d is accepted", tr.submitted)
				tr.submitted++
			}
		default:
		}
		return
	}
	if no.dead || !tr.pulled || !tr.submits() {
		return
	}
	answer, number, req := make(chan error, 1), tr.submitted, tr.request(tr.submitted)
	tr.submitting = answer
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), ttl+tickEvery/3) // never ends at a tick
		defer cancel()
		_, err := no.ow.Submit(ctx, name, number, req)
		answer <- err
	}()
	synctest.Wait()
}

// submits reports whether a step is due for submission.
func (tr *fakeTrainer) submits() bool {
	return tr.submitted < tr.wanted && tr.submitted <= tr.cursor.Step+1+tr.ahead
}

// pull requests the next batch from a node.
func (tr *fakeTrainer) pull(no *node) (message.PullResponse, error) {
	cu := tr.cursor
	cu.Version = tr.version
	synctest.Wait()
	pu, err := no.ow.Pull(context.Background(), name, message.PullRequest{Cursor: cu})
	synctest.Wait()
	re := &outcome.Refusal{}
	if !errors.As(err, &re) || re.Code != outcome.NotHome {
		tr.pulled = true
	}
	if strings.Contains(re.Message, "no step is open") {
		tr.submitted = cu.Step + 1
	}
	_, _ = fmt.Sscanf(re.Message, "the request of step %d is lost", &tr.submitted)
	if strings.Contains(re.Message, "end of a step") {
		tr.restart(1)
	}
	if err == nil && pu.Batch != "" {
		tr.check(no, &pu)
	}
	return pu, err
}

// check verifies that an answer is immutable and within the staleness bound.
func (tr *fakeTrainer) check(no *node, pu *message.PullResponse) {
	tr.wo.note("%s hands over %s at version %d", no.name, pu.Batch, tr.version)
	if was, ok := tr.wo.manifest[pu.Batch]; ok && was != pu.Digest {
		tr.wo.fail("immutable", "batch %s was handed over with other content", pu.Batch)
	}
	tr.wo.manifest[pu.Batch] = pu.Digest
	for _, en := range pu.Manifest {
		for _, se := range en.Segments {
			if se.Version+tr.wo.policy.StalenessBound < tr.version {
				tr.wo.fail("fresh", "batch %s: version %d for a trainer at %d", pu.Batch, se.Version, tr.version)
			}
		}
	}
}

// take fetches the whole batch, verifies and records it.
func (tr *fakeTrainer) take(no *node, pu message.PullResponse) bool {
	incarnation := tr.cursor.Incarnation
	if event := tr.wo.onHandOver; event != nil {
		tr.wo.onHandOver = nil
		event()
	}
	if no.dead || tr.idle || tr.cursor.Incarnation != incarnation {
		return false
	}
	pas, err := tr.wo.payload(no, pu.Batch)
	synctest.Wait()
	if err != nil || len(pas) != len(pu.Manifest) {
		tr.wo.note("trainer can't fetch %s", pu.Batch)
		tr.retryAt = time.Now().Add(5 * refusalRetryAfter)
		return false
	}
	tr.older = append(tr.older, checkpoint{cursor: tr.cursor, taken: maps.Clone(tr.taken)})
	for i, pa := range pas {
		en := pu.Manifest[i]
		if diff := cmp.Diff(tr.wo.generated[en.Digest], pa); diff != "" {
			tr.wo.fail("attribution", "payload of %s: %s", pu.Batch, diff)
		}
		if diff := cmp.Diff(pa.Segments, en.Segments); diff != "" {
			tr.wo.fail("attribution", "manifest of %s: %s", pu.Batch, diff)
		}
		if want := tr.request(pa.Step).Groups[pa.Group].Prompt; pa.Prompt != want {
			tr.wo.fail("attribution", "%s answers %q, not %q", pu.Batch, pa.Prompt, want)
		}
		sl := SlotID{Trainer: pa.Trainer, Step: pa.Step, Group: pa.Group, Member: pa.Member}
		if _, ok := tr.taken[sl]; ok || sl.Group != en.Group || sl.Member != en.Member {
			tr.wo.fail("exactly-once", "%v is duplicated or not in its place in %s", sl, pu.Batch)
		}
		tr.taken[sl] = en.Digest
	}
	if pu.Whole {
		for gi, gr := range tr.request(pu.Step).Groups {
			for me := range gr.Members {
				if _, ok := tr.taken[SlotID{name, pu.Step, gi, me}]; !ok {
					tr.wo.fail("exactly-once", "step %d lacks member %d of group %d", pu.Step, me, gi)
				}
			}
		}
	}
	tr.cursor.Batch, tr.cursor.Digest, tr.cursor.Step = pu.Batch, pu.Digest, pu.Step
	tr.wo.note("trainer takes %s: %s", pu.Batch, describe(pu.Manifest))
	return true
}

// done reports whether all samples of all steps have been received.
func (tr *fakeTrainer) done() bool { return len(tr.taken) == tr.wanted*4 }

// act runs one iteration of a simple trainer: submit, pull, receive, train.
func (tr *fakeTrainer) act() {
	if time.Now().Before(tr.retryAt) {
		return
	}
	for _, no := range tr.wo.nodes {
		if no.dead || no.paused || tr.idle {
			continue
		}
		if tr.eager && tr.pulled && tr.submits() {
			tr.submit(no)
			return
		}
		pu, err := tr.pull(no)
		var re *outcome.Refusal
		if errors.As(err, &re) && re.Code == outcome.NotHome {
			continue // try the next entry
		}
		if pu.Batch != "" && tr.take(no, pu) && pu.Whole {
			tr.version++
			tr.wo.serving = tr.version
		}
		tr.submit(no)
		return
	}
}

// restart restores the back-th latest checkpoint, or the current state if back is 0.
func (tr *fakeTrainer) restart(back int) {
	if back > 0 && back <= len(tr.older) {
		at := len(tr.older) - back
		tr.checkpoint = tr.older[at]
		tr.older = tr.older[:at]
	}
	tr.wo.incarnation++
	tr.cursor.Incarnation = tr.wo.incarnation
	tr.submitted = tr.cursor.Step + 1
	tr.pulled, tr.submitting = false, nil
	tr.wo.note("trainer restarts after %q as %d", tr.cursor.Batch, tr.cursor.Incarnation)
}

// describe formats the samples of a manifest with their slots and versions.
func describe(ens []message.SampleEntry) string {
	var parts []string
	for _, en := range ens {
		var made []string
		for _, se := range en.Segments {
			made = append(made, fmt.Sprintf("%dv%d", se.Tokens, se.Version))
		}
		parts = append(parts, fmt.Sprintf("%d/%d=%s", en.Group, en.Member, strings.Join(made, "+")))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
