package soak

import (
	"strconv"
	"strings"
	"time"

	"wisteriacroft/forward"
	"wisteriacroft/platform/standin"
	"wisteriacroft/step"
)

const (
	// rewardPrefix is the prefix of the ids of reward calls; the item's id follows.
	rewardPrefix = "reward-"
	// maxAttempts is the setting of all routes.
	maxAttempts = 3
)

// rewardCall returns the call that scores an item.
func rewardCall(item string) *forward.Call {
	return &forward.Call{Body: []byte(item), Host: host, ID: rewardPrefix + item, Path: "/safe/" + item}
}

// plainRuns returns the runs of all plain endpoints.
func (rn *run) plainRuns() []standin.PlainRun {
	var notes []standin.PlainRun
	for _, pe := range rn.world.plainEndpoints {
		notes = append(notes, pe.Runs()...)
	}
	return notes
}

// plainRunCounts returns how many times plain endpoints ran each request, by id.
func (rn *run) plainRunCounts() map[string]int {
	ran := map[string]int{}
	for _, no := range rn.plainRuns() {
		ran[no.ID]++
	}
	return ran
}

// checkDropped checks that an item was dropped only after its reward call failed
// maxAttempts times.
func (rn *run) checkDropped(item string) {
	failed := 0
	for _, no := range rn.plainRuns() {
		if no.ID == rewardPrefix+item && no.Failed {
			failed++
		}
	}
	if failed < maxAttempts {
		rn.addViolation("%s is lost, and its reward call failed %d times", item, failed)
	}
}

// checkScore checks that a result's score is the signature of a response to its
// item's reward call, and that the call came after the text's last event.
func (rn *run) checkScore(re step.Result) {
	for _, no := range rn.plainRuns() {
		if no.Signature != re.Score || no.ID != rewardPrefix+re.Item {
			continue
		}
		if made := rn.lastEvent(re); made.IsZero() || no.At.Before(made) {
			rn.addViolation("%s was scored by a call that came %s before its last event", re.Item, made.Sub(no.At))
		}
		return
	}
	rn.addViolation("%s has the score %q, which is no answer to its call", re.Item, re.Score)
}

// lastEvent returns when an engine first generated the last event of a result's text.
func (rn *run) lastEvent(re step.Result) time.Time {
	version, _ := strconv.ParseUint(string(re.Text[strings.LastIndex(string(re.Text), "/")+1:]), 10, 64) // 0 matches no version
	var first time.Time
	for _, en := range rn.world.engines {
		for _, no := range en.Ends() {
			if no.ID == re.Item && no.Version == version && (first.IsZero() || no.At.Before(first)) {
				first = no.At
			}
		}
	}
	return first
}
