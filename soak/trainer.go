package soak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"wisteriacroft/step"
)

const (
	stepGroups = 6
	groupSize  = 4
	// stepDue is the time from submission until a step is due.
	stepDue = 8 * time.Second
	// stepTime is how long the trainer waits for a step.
	stepTime = 15 * time.Second
	// maxItemTokens is an upper bound of the tokens of an item, at 30 tokens an event.
	maxItemTokens = 4000
	// readWait is how long a read waits for results.
	readWait = 500 * time.Millisecond
	// endSlack is how long after the response to a step's end its items may still
	// begin.
	endSlack = 3 * time.Second
	// trainTime is the time between a step's end and the next version.
	trainTime = 200 * time.Millisecond
)

// A task is a step and what its trainer has received.
type task struct {
	customer    string
	groups      int
	submittedAt time.Time // last attempt
	id          string
	minVersion  uint64
	model       string
	number      int
	timeout     time.Duration // for reading results
	route       string
	scored      bool                 // each item has a reward call
	size        int                  // of a group
	completedAt map[string]time.Time // when all items of a group were read, by group
}

func (ta *task) items() int { return ta.groups * ta.size }

// train runs steps one by one until ctx ends, and publishes a version after each.
func (rn *run) train(ctx context.Context) {
	cl := &http.Client{Timeout: callTime, Transport: &http.Transport{DisableKeepAlives: true}}
	for number := 0; ctx.Err() == nil; number++ {
		ta := &task{
			customer: firstCustomer, groups: stepGroups, id: fmt.Sprintf("step-%d", number), minVersion: uint64(max(number-1, 1)),
			model: model, number: number, timeout: stepTime, route: "/steps/", scored: true, size: groupSize,
		}
		if !rn.trainOnce(ctx, cl, ta) {
			continue // never accepted; go on with the next one
		}
		sleep(ctx, trainTime)
		rn.world.operator().NameVersion(ctx, model, uint64(number+2))
	}
}

// trainOnce submits, reads and ends a step, and reports whether it was accepted.
func (rn *run) trainOnce(ctx context.Context, cl *http.Client, ta *task) bool {
	if !rn.submit(ctx, cl, ta) {
		return false
	}
	read := rn.read(ctx, cl, ta)
	if ctx.Err() != nil {
		return true
	}
	rn.reread(ctx, cl, ta, read)
	rn.endStep(ctx, cl, ta)
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.tasks = append(rn.tasks, ta)
	return true
}

// submit submits a step to one entry after another until it is accepted, and
// reports whether it was. After a 503, no part of the step runs.
func (rn *run) submit(ctx context.Context, cl *http.Client, ta *task) bool {
	st := rn.stepOf(ta)
	for try := range 40 {
		ta.submittedAt = time.Now()
		status, err := rn.clientOf(cl, ta.number+try, ta.customer).Submit(ctx, ta.route+ta.id, st)
		if err == nil && status == http.StatusAccepted {
			return true
		}
		sleep(ctx, 200*time.Millisecond)
	}
	if ctx.Err() == nil {
		rn.addViolation("step %s was never accepted", ta.id)
	}
	return false
}

// stepOf builds the step of a task.
func (rn *run) stepOf(ta *task) *step.Step {
	st := &step.Step{Groups: ta.groups, ID: ta.id, MinVersion: ta.minVersion, Model: ta.model, Number: ta.number}
	for group := range ta.groups {
		for i := range ta.size {
			item := step.Item{Group: fmt.Sprint("g", group), ID: fmt.Sprintf("%s-%d-%d", ta.id, group, i), Prompt: 10, Tokens: 10 + maxItemTokens}
			item.Body, item.Hint, item.Path = rn.bodyOf(item.ID), hintOf(item.ID), ta.route+item.ID
			if ta.scored {
				item.Reward = rewardCall(item.ID)
			}
			st.Items = append(st.Items, item)
		}
	}
	return st
}

// read reads and checks a step's results until it has all of them or the task
// times out.
func (rn *run) read(ctx context.Context, cl *http.Client, ta *task) []step.Result {
	var read []step.Result
	end := time.Now().Add(ta.timeout)
	ta.completedAt = map[string]time.Time{}
	counts := map[string]int{} // items read, by group
	for try := 0; ctx.Err() == nil && time.Now().Before(end) && len(read) < ta.items(); try++ {
		status, li, err := rn.clientOf(cl, try, ta.customer).Read(ctx, ta.id, len(read), readWait)
		switch {
		case err == nil && status == http.StatusNotFound:
			rn.addViolation("step %s was accepted and is not found", ta.id)
		case err != nil || status != http.StatusOK:
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		for _, re := range li.Results {
			rn.check(ta, re)
			group := re.Item[:max(strings.LastIndex(re.Item, "-"), 0)]
			if counts[group]++; counts[group] == ta.size {
				ta.completedAt[group] = time.Now()
			}
		}
		read = append(read, li.Results...)
	}
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.report.Items += len(read)
	switch {
	case !ta.scored:
		rn.report.CrowdGroups += len(ta.completedAt)
	case len(read) == ta.items():
		rn.report.Steps++
	}
	return read
}

// check checks that a result belongs to its step and is complete.
func (rn *run) check(ta *task, re step.Result) {
	if !strings.HasPrefix(re.Item, ta.id+"-") {
		rn.addViolation("step %s lists %s", ta.id, re.Item)
		return
	}
	if re.Lost {
		rn.checkDropped(re.Item)
		return
	}
	if ta.scored {
		rn.checkScore(re)
	}
	rn.checkText(ta, re)
}

// checkText checks that a result is the item's complete text, generated by the versions
// that it names, none of which is older than the step allows.
func (rn *run) checkText(ta *task, re step.Result) {
	lines := strings.Split(string(re.Text), "\n")
	if len(lines) != lengthOf(re.Item) {
		rn.addViolation("%s has %d events, not %d", re.Item, len(lines), lengthOf(re.Item))
	}
	var versions []uint64
	for i, line := range lines {
		var version uint64
		if _, err := fmt.Sscanf(line, fmt.Sprintf("%s/%d/%%d", re.Item, i+1), &version); err != nil {
			rn.addViolation("%s has %q as event %d", re.Item, line, i+1)
			return
		}
		if version < ta.minVersion {
			rn.addViolation("%s has an event of version %d under %d", re.Item, version, ta.minVersion)
		}
		if !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	if !slices.Equal(versions, re.Versions) {
		rn.addViolation("%s names versions %v and was made by %v", re.Item, re.Versions, versions)
	}
}

// reread reads a step from the start at all entries, and checks that no result
// has moved or changed.
func (rn *run) reread(ctx context.Context, cl *http.Client, ta *task, read []step.Result) {
	for entry := range rn.opts.Entries {
		status, li, err := rn.clientOf(cl, entry, ta.customer).Read(ctx, ta.id, 0, readWait)
		if err != nil || status != http.StatusOK {
			continue
		}
		items := map[string]bool{}
		for i, re := range li.Results {
			if items[re.Item] {
				rn.addViolation("%s stands at two positions", re.Item)
			}
			items[re.Item] = true
			if i < len(read) && (re.Item != read[i].Item || !bytes.Equal(re.Text, read[i].Text)) {
				rn.addViolation("position %d of %s held %s and holds %s", i, ta.id, read[i].Item, re.Item)
			}
		}
	}
}

// endStep ends a step, and schedules checkEnd for the end of the run.
func (rn *run) endStep(ctx context.Context, cl *http.Client, ta *task) {
	id := ta.id
	for try := range 100 {
		if status, err := rn.clientOf(cl, try, ta.customer).End(ctx, id); err == nil && status == http.StatusOK {
			break
		}
		if ctx.Err() != nil {
			return
		}
		sleep(ctx, 200*time.Millisecond)
	}
	ended := time.Now()
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.finalChecks = append(rn.finalChecks, func() { rn.checkEnd(id, ended) })
}

// checkEnd checks that no item or reward call of a step began more than endSlack after its end.
func (rn *run) checkEnd(id string, ended time.Time) {
	for _, en := range rn.world.engines {
		for _, no := range en.Runs() {
			if strings.HasPrefix(no.ID, id+"-") && no.At.After(ended.Add(endSlack)) {
				rn.addViolation("%s began %s after the end of its step", no.ID, no.At.Sub(ended))
			}
		}
	}
	for _, no := range rn.plainRuns() {
		if strings.HasPrefix(no.ID, rewardPrefix+id+"-") && no.At.After(ended.Add(endSlack)) {
			rn.addViolation("%s was made %s after the end of its step", no.ID, no.At.Sub(ended))
		}
	}
}
