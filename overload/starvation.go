package overload

import (
	"slices"
	"time"
)

// A starvation measures how long a trainer has had no group in time. Only time in which it
// waits for groups counts, not pauses for training or while an operator holds its steps.
type starvation struct {
	pausedAt time.Time // start of the current pause; zero if the trainer waits
	since    time.Time // start, moved forward by the length of each pause
}

// duration returns the duration of the starvation, or 0 during a pause. The receiver may be nil.
func (sv *starvation) duration(now time.Time) time.Duration {
	if sv == nil || !sv.pausedAt.IsZero() {
		return 0
	}
	return now.Sub(sv.since)
}

// resume ends a pause.
func (sv *starvation) resume(now time.Time) {
	if !sv.pausedAt.IsZero() {
		sv.since = sv.since.Add(now.Sub(sv.pausedAt))
		sv.pausedAt = time.Time{}
	}
}

// starvationRetention is how long a trainer in a pause is remembered.
const starvationRetention = time.Minute

// wantsGroups reports whether the step's trainer still waits for groups.
func (st *Step) wantsGroups() bool {
	return st.Wanted > 0 || slices.ContainsFunc(st.Groups, func(gr *Group) bool { return gr.Again })
}

// trackStarvation updates the starvation of all trainers.
func (pl *Planner) trackStarvation(steps []*Step, now time.Time) {
	if pl.starved == nil {
		pl.starved = map[string]*starvation{}
	}
	waits := map[string]bool{}
	for _, st := range steps {
		if !st.wantsGroups() {
			continue
		}
		waits[st.Trainer] = true
		sv := pl.starved[st.Trainer]
		if sv == nil {
			sv = &starvation{since: now}
			pl.starved[st.Trainer] = sv
		}
		sv.resume(now)
	}
	for _, st := range steps {
		if sv := pl.starved[st.Trainer]; sv != nil && sv.since.Before(st.ServedAt) {
			sv.since = st.ServedAt
		}
	}
	for trainer, sv := range pl.starved {
		switch {
		case waits[trainer]:
		case sv.pausedAt.IsZero():
			sv.pausedAt = now
		case now.Sub(sv.pausedAt) > starvationRetention:
			delete(pl.starved, trainer)
		}
	}
}
