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
	// stepTime is how long the trainer waits for a step.
	stepTime = 15 * time.Second
	// readWait is how long a read waits for results.
	readWait = 500 * time.Millisecond
	// endSlack is how long after the answer to a step's end none of its items may
	// begin.
	endSlack = 3 * time.Second
	// trainTime is between a step's end and the next version.
	trainTime = 200 * time.Millisecond
)

// train asks for one step after the other until ctx ends, and names a version
// after each.
func (rn *run) train(ctx context.Context) {
	cl := &http.Client{Timeout: callTime, Transport: &http.Transport{DisableKeepAlives: true}}
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("step-%d", number)
		minVersion := uint64(max(number-1, 1))
		if !rn.submit(ctx, cl, id, number, minVersion) {
			continue // refused for good; the next one is asked for
		}
		read := rn.read(ctx, cl, id, minVersion)
		if ctx.Err() != nil {
			return
		}
		rn.reread(ctx, cl, id, read)
		rn.endStep(ctx, cl, id)
		sleep(ctx, trainTime)
		rn.world.operator().NameVersion(ctx, model, uint64(number+2))
	}
}

// submit hands a step in until it is accepted, and reports whether it was. An
// entry that answers 503 promises that no part of it runs; another is asked.
func (rn *run) submit(ctx context.Context, cl *http.Client, id string, number int, minVersion uint64) bool {
	st := &step.Step{Groups: stepGroups, ID: id, MinVersion: minVersion, Model: model, Number: number}
	for group := range stepGroups {
		for i := range groupSize {
			item := fmt.Sprintf("%s-%d-%d", id, group, i)
			st.Items = append(st.Items, step.Item{
				Body: rn.bodyOf(item), Group: fmt.Sprint("g", group), ID: item,
				Path: "/steps/" + item, Prompt: 10, Reward: rewardCall(item), Tokens: 2010,
			})
		}
	}
	for try := range 40 {
		status, err := rn.client(cl, number+try).Submit(ctx, "/steps/"+id, st)
		if err == nil && status == http.StatusAccepted {
			return true
		}
		sleep(ctx, 200*time.Millisecond)
	}
	if ctx.Err() == nil {
		rn.violate("step %s was never accepted", id)
	}
	return false
}

// read reads a step's results until all are there or its time is up, and checks
// each.
func (rn *run) read(ctx context.Context, cl *http.Client, id string, minVersion uint64) []step.Result {
	var read []step.Result
	end := time.Now().Add(stepTime)
	for try := 0; ctx.Err() == nil && time.Now().Before(end) && len(read) < stepGroups*groupSize; try++ {
		status, li, err := rn.client(cl, try).Read(ctx, id, len(read), readWait)
		switch {
		case err == nil && status == http.StatusNotFound:
			rn.violate("step %s was accepted and is not found", id)
		case err != nil || status != http.StatusOK:
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		for _, re := range li.Results {
			rn.check(id, re, minVersion)
		}
		read = append(read, li.Results...)
	}
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.report.Items += len(read)
	if len(read) == stepGroups*groupSize {
		rn.report.Steps++
	}
	return read
}

// check checks that a result is the item's whole text, by the versions that it
// names.
func (rn *run) check(id string, re step.Result, minVersion uint64) {
	if !strings.HasPrefix(re.Item, id+"-") {
		rn.violate("step %s lists %s", id, re.Item)
		return
	}
	if re.Lost {
		rn.checkLost(re.Item)
		return
	}
	rn.checkScore(re)
	lines := strings.Split(string(re.Text), "\n")
	if len(lines) != lengthOf(re.Item) {
		rn.violate("%s has %d events, not %d", re.Item, len(lines), lengthOf(re.Item))
	}
	var versions []uint64
	for i, line := range lines {
		var version uint64
		if _, err := fmt.Sscanf(line, fmt.Sprintf("%s/%d/%%d", re.Item, i+1), &version); err != nil {
			rn.violate("%s has %q as event %d", re.Item, line, i+1)
			return
		}
		if version < minVersion {
			rn.violate("%s has an event of version %d under %d", re.Item, version, minVersion)
		}
		if !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	if !slices.Equal(versions, re.Versions) {
		rn.violate("%s names versions %v and was made by %v", re.Item, re.Versions, versions)
	}
}

// reread reads a step from the start at other entries: what was read stays at
// its place.
func (rn *run) reread(ctx context.Context, cl *http.Client, id string, read []step.Result) {
	for entry := range rn.opts.Entries {
		status, li, err := rn.client(cl, entry).Read(ctx, id, 0, readWait)
		if err != nil || status != http.StatusOK {
			continue
		}
		items := map[string]bool{}
		for i, re := range li.Results {
			if items[re.Item] {
				rn.violate("%s stands at two positions", re.Item)
			}
			items[re.Item] = true
			if i < len(read) && (re.Item != read[i].Item || !bytes.Equal(re.Text, read[i].Text)) {
				rn.violate("position %d of %s held %s and holds %s", i, id, read[i].Item, re.Item)
			}
		}
	}
}

// endStep ends a step and, later, looks whether an item of it began after that.
func (rn *run) endStep(ctx context.Context, cl *http.Client, id string) {
	for try := range 100 {
		if status, err := rn.client(cl, try).End(ctx, id); err == nil && status == http.StatusOK {
			break
		}
		if ctx.Err() != nil {
			return
		}
		sleep(ctx, 200*time.Millisecond)
	}
	ended := time.Now()
	rn.later = append(rn.later, func() {
		for _, en := range rn.world.engines {
			for _, no := range en.Notes() {
				if strings.HasPrefix(no.ID, id+"-") && no.At.After(ended.Add(endSlack)) {
					rn.violate("%s began %s after the end of its step", no.ID, no.At.Sub(ended))
				}
			}
		}
		for _, no := range rn.deskNotes() {
			if strings.HasPrefix(no.ID, rewardPrefix+id+"-") && no.At.After(ended.Add(endSlack)) {
				rn.violate("%s was made %s after the end of its step", no.ID, no.At.Sub(ended))
			}
		}
	})
}
