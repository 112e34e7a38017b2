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
	// rewardPrefix begins the ids of reward calls; the item's follows.
	rewardPrefix = "reward-"
	// maxAttempts is that of all routes.
	maxAttempts = 3
)

// rewardCall returns the call that scores an item.
func rewardCall(item string) *forward.Call {
	return &forward.Call{Body: []byte(item), Host: host, ID: rewardPrefix + item, Path: "/safe/" + item}
}

// deskNotes returns what all plain endpoints have run.
func (rn *run) deskNotes() []standin.PlainRun {
	var notes []standin.PlainRun
	for _, de := range rn.world.desks {
		notes = append(notes, de.Notes()...)
	}
	return notes
}

// deskRuns returns how many times plain endpoints ran each request.
func (rn *run) deskRuns() map[string]int {
	ran := map[string]int{}
	for _, no := range rn.deskNotes() {
		ran[no.ID]++
	}
	return ran
}

// checkLost checks that an item was given up only after its reward call failed
// as often as the routes allow.
func (rn *run) checkLost(item string) {
	failed := 0
	for _, no := range rn.deskNotes() {
		if no.ID == rewardPrefix+item && no.Failed {
			failed++
		}
	}
	if failed < maxAttempts {
		rn.violate("%s is lost, and its reward call failed %d times", item, failed)
	}
}

// checkScore checks that a result's score is the signature of a good answer to
// its item's own call, and that the call came after the text's last event.
func (rn *run) checkScore(re step.Result) {
	for _, no := range rn.deskNotes() {
		if no.Signature != re.Score || no.ID != rewardPrefix+re.Item {
			continue
		}
		if made := rn.lastEvent(re); made.IsZero() || no.At.Before(made) {
			rn.violate("%s was scored by a call that came %s before its last event", re.Item, made.Sub(no.At))
		}
		return
	}
	rn.violate("%s has the score %q, which is no answer to its call", re.Item, re.Score)
}

// lastEvent returns when an engine first made the last event of a result's text.
func (rn *run) lastEvent(re step.Result) time.Time {
	version, _ := strconv.ParseUint(string(re.Text[strings.LastIndex(string(re.Text), "/")+1:]), 10, 64) // 0 made nothing
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
