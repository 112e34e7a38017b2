package capacity

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"wisteriacroft/step"
)

const (
	stepInterval = 4 * time.Second
	stepDue      = 7500 * time.Millisecond
	readInterval = 500 * time.Millisecond
	membersEach  = 8   // items of a group
	wantedPart   = 0.9 // of the groups
	// itemsPerEngine is how many items all trainers together ask for a second, for each engine.
	itemsPerEngine = 0.685
)

// A simulatedTrainer submits a step each stepInterval through one entry after the other, reads its
// results until enough of them are complete, ends it, and names the next version of its model.
type simulatedTrainer struct {
	completed atomic.Int64 // items
	model     int
	requested atomic.Int64 // items
}

// run submits steps until ctx ends.
func (st *simulatedTrainer) run(ctx context.Context, cp *controlPlane, tb testing.TB) {
	groups := max(1, int(itemsPerEngine*stepInterval.Seconds()*float64(len(cp.attendants))/modelCount/membersEach))
	begun := time.Now()
	for number := 0; ctx.Err() == nil; number++ {
		en := cp.entries[(number*modelCount+st.model)%len(cp.entries)]
		st.runStep(ctx, en.frontend, number, groups)
		if ctx.Err() != nil {
			return
		}
		cp.nameVersion(tb, st.model, uint64(number+2))
		sleep(ctx, time.Until(begun.Add(time.Duration(number+1)*stepInterval)))
	}
}

// runStep submits a step and reads its results.
func (st *simulatedTrainer) runStep(ctx context.Context, fr *step.Frontend, number, groups int) {
	begun := time.Now()
	rq := st.step(number, groups)
	st.requested.Add(int64(len(rq.Items)))
	if fr.Accept(ctx, rq) != nil {
		return
	}
	read, wanted := 0, int(wantedPart*float64(len(rq.Items)))
	for read < wanted && time.Since(begun) < stepDue+stepInterval && ctx.Err() == nil {
		li, err := fr.Read(ctx, step.ReadRequest{After: read, ID: rq.ID, Wait: time.Second})
		if err == nil {
			read += len(li.Results)
		}
		sleep(ctx, readInterval)
	}
	st.completed.Add(int64(read))
	_ = fr.End(ctx, rq.ID) // it expires otherwise
}

// step returns a step of the trainer.
func (st *simulatedTrainer) step(number, groups int) *step.Step {
	rq := &step.Step{
		Accepted: time.Now(), Due: stepDue, Groups: int(wantedPart * float64(groups)), Host: "trainer", ID: fmt.Sprintf("step-%d-%d", st.model, number),
		MaxAttempts: 3, MaxWait: 12 * time.Second, MinVersion: uint64(max(number, 1)), Model: modelName(st.model), Number: number,
		Route: "steps", Service: engineService,
	}
	for group := range groups {
		for i := range membersEach {
			rq.Items = append(rq.Items, step.Item{
				Body: make([]byte, 600), Group: fmt.Sprint("group-", group), Header: map[string]string{"X-Model": rq.Model},
				Hint: (shortestRun + longestRun) / 2, ID: fmt.Sprintf("%s-%d-%d", rq.ID, group, i), Path: "/generate", Prompt: 276, Tokens: 600,
			})
		}
	}
	return rq
}
