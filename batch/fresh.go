package batch

import (
	"math"
	"time"

	"wisteriacroft/engine"
	"wisteriacroft/message"
)

// dropStale cancels stale attempts, and reopens slots whose samples became stale before their batch
// was sealed.
func (ow *Owner) dropStale(time.Time) {
	for _, tr := range ow.trainers {
		ow.cancelStale(tr)
		if tr.version != tr.checkedVersion {
			tr.checkedVersion = tr.version
			tr.reopenStale()
		}
	}
}

// cancelStale cancels attempts with a stale token.
func (ow *Owner) cancelStale(tr *trainer) {
	for i := len(tr.running) - 1; i >= 0; i-- {
		at := tr.running[i]
		if at.oldest > 0 && tr.policy.stale(at.oldest, tr.version) {
			tr.counts.Stale++
			tr.counts.WastedTokens += at.tokens
			ow.cancel(at)
		}
	}
}

// reopenStale reopens filled slots whose sample is stale.
func (tr *trainer) reopenStale() {
	for _, sp := range tr.steps {
		for i := range sp.slots {
			sl := &sp.slots[i]
			if sl.state == slotFilled && tr.isStale(sl.entry) {
				tr.counts.Stale++
				tr.counts.WastedTokens += tokens(sl.entry.Segments)
				sl.reopen()
			}
		}
	}
}

// reopen resets a slot so that it needs a sample again.
func (sl *slot) reopen() {
	*sl = slot{attempts: sl.attempts, group: sl.group, member: sl.member}
}

// isStale reports whether a sample is stale under the trainer's current version.
func (tr *trainer) isStale(en *message.SampleEntry) bool {
	return tr.policy.stale(oldest(en.Segments), tr.version)
}

// reopenStaleEntries reopens the stale samples of a sealed batch and reports whether there were any.
func (tr *trainer) reopenStaleEntries(ba *batch) bool {
	found := false
	for i := range ba.entries {
		en := &ba.entries[i]
		key := slotKey{group: en.Group, member: en.Member}
		if !ba.reopened[key] && tr.isStale(en) {
			tr.counts.Stale++
			tr.counts.WastedTokens += tokens(en.Segments)
			ba.reopen(key)
			found = true
		}
	}
	return found
}

// reopen marks a slot of a sealed batch to be filled again. The ledger keeps the batch until it is
// sealed again, so that a new owner detects the same fault.
func (ba *batch) reopen(key slotKey) {
	if ba.reopened == nil {
		ba.reopened = map[slotKey]bool{}
	}
	ba.reopened[key] = true
	if ba.step.request != nil {
		ba.step.slot(key).reopen()
	}
}

// oldest returns the lowest version of a sample's segments.
func oldest(ses []engine.Segment) engine.Version {
	low := ses[0].Version
	for _, se := range ses {
		low = min(low, se.Version)
	}
	return low
}

func tokens(ses []engine.Segment) int {
	sum := 0
	for _, se := range ses {
		sum += se.Tokens
	}
	return sum
}

// stepsBefore returns the number of steps that the trainer takes before sp.
func (tr *trainer) stepsBefore(sp *step) int {
	steps := 0
	for _, other := range tr.steps {
		if other.number >= sp.number {
			break
		}
		if !other.fullyTaken() {
			steps++
		}
	}
	return steps
}

// expected returns the version that the trainer will probably have when it takes a step that is
// ahead steps away. It is the higher of two estimates: one from the trainer's own pace, and
// one from the versions released to the engines, for a trainer that does not publish them. Without
// the second, samples of such a trainer would be stale at hand-over and be generated again.
func (tr *trainer) expected(ahead int) engine.Version {
	if ahead == 0 {
		return tr.version
	}
	return max(tr.version+tr.pace.versions(ahead), tr.releases.expectedAt(tr.pace.takenAt(ahead)))
}

// minVersion returns the lowest version on which a sample of sp may start. Until the trainer's
// patience ends, the freshness weight requires newer versions than the staleness bound: with weight
// 1 the version that the trainer will have.
func (tr *trainer) minVersion(sp *step, now time.Time) engine.Version {
	po := &tr.policy
	if po.Gate == StartAtOnce {
		return versionsBefore(tr.version, po.StalenessBound)
	}
	ahead := tr.stepsBefore(sp)
	if ahead == 0 && sp.headAt.IsZero() {
		sp.headAt = now
	}
	if ahead == 0 && now.Sub(sp.headAt) >= po.patience() {
		return tr.boundVersion(sp)
	}
	return versionsBefore(tr.expected(ahead), po.allowedLag(sp))
}

// boundVersion returns the lowest version that keeps a sample of sp within the staleness bound.
func (tr *trainer) boundVersion(sp *step) engine.Version {
	return versionsBefore(tr.expected(tr.stepsBefore(sp)), tr.policy.StalenessBound)
}

// allowedLag returns how many versions behind the expected one the next sample of sp may start: the
// staleness bound, reduced by the freshness weight. Its fractional part is the fraction of the step's
// samples that may be one more version behind. These start first and are the longest, and so are
// already in progress when the trainer reaches the step.
func (po *Policy) allowedLag(sp *step) engine.Version {
	soft := float64(po.StalenessBound) * (1 - min(max(po.FreshnessWeight, 0), 1))
	whole := math.Floor(soft)
	if float64(sp.started()) < (soft-whole)*float64(len(sp.slots)) {
		whole++
	}
	return engine.Version(whole)
}

// started returns the number of slots with a sample or an attempt.
func (sp *step) started() int {
	count := 0
	for i := range sp.slots {
		if sp.slots[i].state != slotOpen || len(sp.slots[i].attempts) > 0 {
			count++
		}
	}
	return count
}

// versionsBefore returns ve - count, or 0 if that is negative.
func versionsBefore(ve, count engine.Version) engine.Version {
	if ve < count {
		return 0
	}
	return ve - count
}
