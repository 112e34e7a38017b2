package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"wisteriacroft/blob"
	"wisteriacroft/engine"
	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
	"wisteriacroft/message"
	"wisteriacroft/outcome"
)

// newOwner returns an owner that holds its leases and runs I/O synchronously.
func newOwner(me *keyvalue.Memory, started *[]Attempt) *Owner {
	return &Owner{
		CancelFunc: func(string) {},
		Client:     me.Client(),
		GoFunc:     func(run func(ctx context.Context)) { run(context.Background()) },
		LeaseFunc:  func(string, time.Time) (uint64, lease.State) { return 1, lease.Held },
		ReplicateFunc: func(context.Context, []byte) ([]message.BlobLocation, error) {
			return []message.BlobLocation{storeOne, storeTwo}, nil
		},
		StartFunc: func(at Attempt) bool { *started = append(*started, at); return true },
	}
}

func ticks(ow *Owner, count int) {
	for range count {
		time.Sleep(tickEvery)
		for _, sy := range ow.Systems() {
			sy.Run(time.Now())
		}
		synctest.Wait()
	}
}

// submit submits a step whose groups have prompts a, b and so on, and waits for its acceptance.
func submit(ow *Owner, trainer string, step, groups, members int) {
	req := message.StepRequest{}
	for gi := range groups {
		req.Groups = append(req.Groups, message.Group{MaxTokens: 100, Members: members, Prompt: string(rune('a' + gi%26))})
	}
	go func() { _, _ = ow.Submit(context.Background(), trainer, step, req) }()
	ticks(ow, 2)
}

func TestMinVersion(t *testing.T) {
	const trained = engine.Version(5)
	for name, tc := range map[string]struct {
		after    time.Duration
		begun    int // slots of each step that are already filled
		policy   Policy
		releases releases
		want     string // least versions for the first and the second step
	}{
		"fresh at hand-over":    {policy: Policy{StalenessBound: 1}, want: "4 5"},
		"at once":               {policy: Policy{StalenessBound: 1, Gate: StartAtOnce}, want: "4 4"},
		"full freshness weight": {policy: Policy{StalenessBound: 2, FreshnessWeight: 1}, want: "5 6"},
		"after the patience":    {policy: Policy{StalenessBound: 2, FreshnessWeight: 1}, after: time.Minute, want: "3 6"},
		"half freshness weight": {policy: Policy{StalenessBound: 2, FreshnessWeight: 0.5}, want: "4 5"},
		"fractional lag":        {policy: Policy{StalenessBound: 1, FreshnessWeight: 0.5}, want: "4 5"},
		"rest of the step":      {policy: Policy{StalenessBound: 1, FreshnessWeight: 0.5}, begun: 1, want: "5 6"},
		"versions of other trainers": {
			policy:   Policy{StalenessBound: 1},
			releases: releases{at: time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).Add(-time.Minute), interval: time.Minute, newest: 6},
			want:     "4 6",
		},
		"never below version 0": {policy: Policy{StalenessBound: 9}, want: "0 0"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var me keyvalue.Memory
				ow := newOwner(&me, &[]Attempt{})
				ow.Add("a", tc.policy)
				ticks(ow, 1)
				submit(ow, "a", 0, 1, 2)
				submit(ow, "a", 1, 1, 2)
				tr := ow.trainer("a")
				tr.version, tr.releases = trained, tc.releases
				tr.pace.since = time.Now()
				for _, sp := range tr.steps {
					sp.slots[0].attempts, sp.slots[1].attempts = nil, nil
					for i := range tc.begun {
						sp.slots[i].state = slotFilled
					}
				}
				now := time.Now()
				tr.steps[0].headAt = now.Add(-tc.after)
				got := fmt.Sprint(tr.minVersion(tr.steps[0], now), " ", tr.minVersion(tr.steps[1], now))
				assert.Equal(t, got, tc.want)
			})
		})
	}
}

func TestSubmit(t *testing.T) {
	group := message.Group{MaxTokens: 100, Members: 1, Prompt: "a"}
	for name, tc := range map[string]struct {
		code   outcome.Code // "" if accepted
		groups []message.Group
		step   int
	}{
		"same request again": {groups: []message.Group{group}},
		"next step":          {groups: []message.Group{group}, step: 1},
		"other content":      {groups: []message.Group{group, group}, code: outcome.BadRequest},
		"gap in numbers":     {groups: []message.Group{group}, step: 2, code: outcome.BadRequest},
		"no group":           {step: 1, code: outcome.BadRequest},
		"no member":          {groups: []message.Group{{MaxTokens: 1}}, step: 1, code: outcome.BadRequest},
		"too many members":   {groups: []message.Group{{MaxTokens: 1, Members: MaxSamples + 1}}, step: 1, code: outcome.BadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var me keyvalue.Memory
				ow := newOwner(&me, &[]Attempt{})
				ow.Add("a", Policy{})
				ticks(ow, 1)
				submit(ow, "a", 0, 1, 1)
				var err error
				go func() {
					_, err = ow.Submit(t.Context(), "a", tc.step, message.StepRequest{Groups: tc.groups})
				}()
				ticks(ow, 2)
				re := &outcome.Refusal{}
				errors.As(err, &re)
				assert.Equal(t, re.Code, tc.code)
			})
		})
	}
}

func TestFirstStep(t *testing.T) {
	// Guards against accepting a late submission as the first step after the trainer has restarted
	// from the beginning.
	for name, tc := range map[string]struct {
		cursor message.Cursor
		number int
		want   bool
	}{
		"late submission":  {cursor: message.Cursor{Incarnation: 1, Step: -1}, number: 2},
		"from the start":   {cursor: message.Cursor{Incarnation: 1, Step: -1}, number: 0, want: true},
		"never pulled":     {number: 7, want: true},
		"continues at 500": {cursor: message.Cursor{Incarnation: 1, Step: 499}, number: 500, want: true},
		"0 for no step":    {cursor: message.Cursor{Incarnation: 1}, number: 0, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			tr := trainer{cursor: tc.cursor}
			assert.Equal(t, tr.isNextStep(tc.number), tc.want)
		})
	}
}

func TestStartOrder(t *testing.T) {
	for name, tc := range map[string]struct {
		policy Policy
		want   string
	}{
		"longest first":      {policy: Policy{Order: LongestFirst}, want: "b0 b1 c0 c1 a0 a1"},
		"first in first out": {policy: Policy{Order: FirstInFirstOut}, want: "a0 a1 b0 b1 c0 c1"},
		"fresh groups whole": {policy: Policy{Order: LongestFirst, FreshnessWeight: 1}, want: "a0 a1 b0 b1 c0 c1"},
		"fresh whole steps":  {policy: Policy{FreshnessWeight: 1, WholeSteps: true}, want: "b0 b1 c0 c1 a0 a1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var me keyvalue.Memory
				var started []Attempt
				ow := newOwner(&me, &started)
				ow.lengths.record("a", 20)
				ow.lengths.record("b", 90)
				ow.lengths.record("c", 50)
				ow.Add("a", tc.policy)
				ticks(ow, 1)
				submit(ow, "a", 0, 3, 2)
				got := ""
				for _, at := range started {
					got += fmt.Sprintf(" %s%d", at.Prompt, at.Slot.Member)
				}
				assert.Equal(t, got, " "+tc.want)
			})
		})
	}
}

func TestFairShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var me keyvalue.Memory
		var started []Attempt
		ow := newOwner(&me, &started)
		ow.Add("big", Policy{Share: 3})
		ow.Add("small", Policy{})
		ow.StartFunc = func(Attempt) bool { return false } // no endpoint is free
		ticks(ow, 1)
		submit(ow, "big", 0, 8, 8)
		submit(ow, "small", 0, 8, 8)
		ow.MaxRunning = 64
		ow.StartFunc = func(at Attempt) bool { started = append(started, at); return true }
		ticks(ow, 2) // the first tick stops after a few rejected starts
		got := map[string]int{}
		for _, at := range started {
			got[at.Slot.Trainer]++
		}
		assert.DeepEqual(t, got, map[string]int{"big": 48, "small": 16})
	})
}

func TestBlockedTrainer(t *testing.T) {
	// Guards against a trainer whose attempts are all rejected and that, first at each tick, blocks
	// the other trainers.
	synctest.Test(t, func(t *testing.T) {
		var me keyvalue.Memory
		started := 0
		ow := newOwner(&me, &[]Attempt{})
		ow.Add("blocked", Policy{})
		ow.Add("free", Policy{})
		ow.StartFunc = func(at Attempt) bool {
			if at.Slot.Trainer == "blocked" {
				return false
			}
			started++
			return true
		}
		ticks(ow, 1)
		submit(ow, "blocked", 0, 4, 8)
		submit(ow, "free", 0, 4, 8)
		ticks(ow, 1)
		assert.Equal(t, started, 32)
	})
}

func TestFinished(t *testing.T) {
	// Guards against accepting an incomplete or unattributed result, and against waiting forever
	// for a lost attempt.
	good := message.SampleResult{
		Digest: blob.Digest(nil), Places: []message.BlobLocation{storeOne}, Size: 1, Tokens: 9,
		Segments: []engine.Segment{{Tokens: 4, Version: 1}, {Tokens: 5, Version: 2}},
	}
	for name, tc := range map[string]struct {
		change func(sr *message.SampleResult)
		filled bool
		silent bool
		stale  bool
	}{
		"stale":       {change: func(*message.SampleResult) {}, stale: true},
		"whole":       {change: func(*message.SampleResult) {}, filled: true},
		"no version":  {change: func(sr *message.SampleResult) { sr.Segments = []engine.Segment{{Tokens: 9}} }},
		"cut short":   {change: func(sr *message.SampleResult) { sr.Segments = sr.Segments[:1] }},
		"no payload":  {change: func(sr *message.SampleResult) { sr.Places = nil }},
		"bad digest":  {change: func(sr *message.SampleResult) { sr.Digest = "1" }},
		"no segments": {change: func(sr *message.SampleResult) { sr.Segments = nil }},
		"silent":      {silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var me keyvalue.Memory
				var started []Attempt
				ow := newOwner(&me, &started)
				ow.Add("a", Policy{StragglerAfter: time.Second, Straggling: KeepStragglers})
				ticks(ow, 1)
				submit(ow, "a", 0, 1, 1)
				if tc.stale {
					ow.trainer("a").version = 2
				}
				if tc.silent {
					ticks(ow, 100)
				} else {
					sr := good
					tc.change(&sr)
					ow.Finished(started[0].ID, sr)
				}
				assert.Equal(t, len(ow.trainer("a").running), 0, "the attempt is over")
				ticks(ow, 15)
				assert.Equal(t, len(started) == 1, tc.filled)
			})
		})
	}
}

func TestStraggles(t *testing.T) {
	const slow = 1.0 // tokens per second
	for name, tc := range map[string]struct {
		quiet   time.Duration // time since the last tokens, or since the start of the attempt
		running time.Duration // time since the first tokens
		tokens  int
		want    bool
	}{
		"queued":        {quiet: time.Minute},
		"never starts":  {quiet: 2 * time.Minute, want: true},
		"stalled":       {quiet: 30 * time.Second, running: time.Hour, tokens: 90_000, want: true},
		"slow":          {running: time.Minute, tokens: 30, want: true},
		"slow to start": {running: time.Second, tokens: 1},
		"long":          {running: time.Hour, tokens: 90_000},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			at := attempt{progressAt: now.Add(-tc.quiet), startedAt: now.Add(-tc.running), tokens: tc.tokens}
			assert.Equal(t, at.isStraggler(now, slow, &Policy{}), tc.want)
		})
	}
}

func TestResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var me keyvalue.Memory
		var started []Attempt
		ow := newOwner(&me, &started)
		ow.Add("a", Policy{StalenessBound: 1})
		ticks(ow, 1)
		submit(ow, "a", 0, 1, 1)
		crash := func(at Attempt, trained engine.Version) Attempt {
			ow.Started(at.ID, "engine-1", "10.0.0.9:1")
			ow.Progress(at.ID, 7, 4)
			ow.trainer("a").version = trained
			ow.Failed(at.ID, errDead)
			ticks(ow, 25)
			return started[len(started)-1]
		}
		second := crash(started[0], 5)
		assert.DeepEqual(t, second.ResumeFrom, &message.ResumeFrom{Address: "10.0.0.9:1", Attempt: started[0].ID})
		third := crash(second, 6)
		assert.Assert(t, third.ResumeFrom == nil, "the tokens made so far are stale")
		assert.Equal(t, third.Avoid, "engine-1")
	})
}

func TestPullWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var me keyvalue.Memory
		ow := newOwner(&me, &[]Attempt{})
		ow.Add("a", Policy{})
		ticks(ow, 1)
		pull := func() (message.PullResponse, error) {
			return ow.Pull(t.Context(), "a", message.PullRequest{Wait: "1m"})
		}
		began := time.Now()
		_, err := pull()
		var re *outcome.Refusal
		assert.Assert(t, errors.As(err, &re), "no step is open")
		assert.Equal(t, time.Since(began), time.Minute)
		submit(ow, "a", 0, 1, 1)
		answers := make(chan message.PullResponse)
		go func() {
			pu, _ := pull()
			answers <- pu
		}()
		synctest.Wait()
		fill(ow, "a")
		ticks(ow, 1)
		assert.Equal(t, (<-answers).Batch, "0-0-1-last")
	})
}

// fill finishes all running attempts of a trainer.
func fill(ow *Owner, trainer string) {
	tr := ow.trainer(trainer)
	for len(tr.running) > 0 {
		at := tr.running[0]
		places := []message.BlobLocation{storeOne, storeTwo}
		data, _ := json.Marshal(places) // a copy with its own strings, as from a codec
		_ = json.Unmarshal(data, &places)
		ow.Finished(at.id, message.SampleResult{
			Digest:   blob.Digest([]byte(at.id)),
			Places:   places,
			Segments: []engine.Segment{{Tokens: 9000, Version: 1}, {Tokens: 11000, Version: 2}},
			Size:     160_000,
			Tokens:   20_000,
		})
	}
}
