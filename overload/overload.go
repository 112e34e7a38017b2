// Package overload plans the engines' capacity when trainers ask for more than the engines can
// complete in time: it decides for which groups of open steps capacity is reserved.
//
// By least slack alone, all items would end at about the same time, after their steps are due.
//
// The package does no I/O and reads no clock.
package overload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// overloadFraction and clearFraction are the loads, as fractions of the capacity, at which overload
	// begins and below which it ends. They are far below 1 since hints often underestimate
	// the work.
	overloadFraction = 0.55
	clearFraction    = 0.4
	// idleFraction is the load below which there is no overload, even if groups have no capacity.
	// Such groups have an item that is too long to be in time.
	idleFraction = 0.25
	// reservableFraction is the fraction of the capacity that is reserved. The rest is lost between
	// runs and to weight loads.
	reservableFraction = 0.75
	// starvationFactor times a step's allowed time is how long a trainer may have no group in time
	// before its steps go first. A trainer has two steps open, and both were late then.
	starvationFactor = 2
)

// A Group is a set of items of a step that are useful only together.
type Group struct {
	Again   bool          // the trainer waits for this group in any case
	Longest time.Duration // remaining time of the longest open item
	Work    time.Duration // total remaining time of the open items

	inTime   bool
	order    int // index in its step, as given
	position int
}

// InTime reports whether capacity is reserved for the group, so that it can be in time.
func (gr *Group) InTime() bool { return gr.inTime }

// Position returns the index of the group in the order of all groups, by which they are placed.
func (gr *Group) Position() int { return gr.position }

// A Step is an open step without its complete groups.
type Step struct {
	Due      time.Duration // allowed time in total
	GivesUp  time.Duration // until its trainer is expected to end it; 0 means unknown
	Groups   []*Group
	Left     time.Duration // until the step is due; negative if it is late
	Rank     int           // of its customer; the lowest goes first
	ServedAt time.Time     // when its last group was completed in time; zero if none was
	Trainer  string
	Wanted   int // number of groups that its trainer still waits for

	work time.Duration // of groups with reserved capacity in the current plan
}

// Demand returns the number of slots that the wanted groups need within the step's allowed time.
func (st *Step) Demand() float64 { return float64(st.wantedWork()) / float64(max(st.Due, 1)) }

// wantedWork returns the remaining work of the first groups that the trainer waits for.
func (st *Step) wantedWork() time.Duration {
	var work time.Duration
	for _, gr := range st.Groups[:min(max(st.Wanted, 0), len(st.Groups))] {
		work += gr.Work
	}
	return work
}

// A Discipline is a policy for sharing scarce capacity among steps.
type Discipline int

// The policies.
const (
	// FirstInFirstOut serves steps in the order of submission.
	FirstInFirstOut Discipline = iota
	// ShortestFirst serves groups of all steps in the order of their work.
	ShortestFirst
	// EqualProgress serves groups so that all steps progress equally.
	EqualProgress
	// LeastSlack disables overload mode, so that items are placed by least slack.
	LeastSlack
)

// A Planner detects overload and plans the capacity of one service. The zero value is ready to
// use. It is not safe for concurrent use.
type Planner struct {
	// Lingers extends the overload while a wanted group has no reserved capacity and its step
	// isn't late yet.
	//
	// The load falls as groups of half finished steps end. By least slack, items that will be
	// late anyway would then go first and delay steps with reserved capacity.
	Lingers bool
	Way     Discipline

	overloaded bool
	starved    map[string]*starvation // by trainer
	load       float64
}

// Overloaded reports whether the capacity is insufficient for all open steps.
func (pl *Planner) Overloaded() bool { return pl.overloaded }

// Load returns the wanted work as a fraction of the capacity within a step's allowed time.
func (pl *Planner) Load() float64 { return pl.load }

// Idle reports whether the planner has no state, so that it can be replaced by a new one.
func (pl *Planner) Idle() bool { return !pl.overloaded && len(pl.starved) == 0 }

// Plan reserves capacity for groups of the open steps and sets the positions of all groups.
// Steps must be ordered from the oldest. Slots is the number of slots, in which those of slow
// engines count in part.
func (pl *Planner) Plan(steps []*Step, slots float64, now time.Time) {
	pl.load = load(steps, slots)
	short := false // a wanted group has no reserved capacity, and its step isn't late yet
	steps = pl.starvedFirst(steps, now)
	cds, ca := pl.candidates(steps), newCapacity(steps, reservableFraction*slots)
	for i := range cds {
		gr, st := cds[i].group, cds[i].step
		cds[i].tier = tierOf(cds[i])
		gr.inTime = cds[i].tier == possible && ca.fits(st, gr.Work)
		short = short || cds[i].wanted && !gr.inTime && st.Left > 0
		if gr.inTime {
			cds[i].tier = planned
			st.work += gr.Work
		}
	}
	for position, cd := range byTier(cds) {
		cd.group.position = position
	}
	pl.updateOverloaded(short)
}

// updateOverloaded updates whether there is overload, by the load and by whether a wanted group has
// no reserved capacity.
func (pl *Planner) updateOverloaded(short bool) {
	switch {
	case pl.Way == LeastSlack:
	case pl.load >= overloadFraction:
		pl.overloaded = true
	case pl.load < idleFraction, pl.load < clearFraction && (!pl.Lingers || !short):
		pl.overloaded = false
	}
}

// A tier is how useful a group can still be to its trainer.
type tier int

// The tiers, from the best.
const (
	planned  tier = iota // capacity is reserved
	possible             // could be in time, but the capacity is reserved for others
	late                 // can be complete before its trainer ends the step
	hopeless             // can't be complete before its trainer ends the step
)

// tierOf returns the tier of a group without reserved capacity.
func tierOf(cd candidate) tier {
	gr, st := cd.group, cd.step
	switch {
	case cd.wanted && gr.Longest <= st.Left:
		return possible
	case st.GivesUp == 0 || gr.Longest <= st.GivesUp:
		return late
	default:
		return hopeless
	}
}

// load returns the wanted work as a fraction of what the slots can do within the longest allowed
// time. It also sorts the groups of all steps and resets their reserved work.
func load(steps []*Step, slots float64) float64 {
	var work, due time.Duration
	for _, st := range steps {
		st.work = 0
		due = max(due, st.Due)
		sortGroups(st.Groups)
		work += st.wantedWork()
	}
	if work == 0 {
		return 0
	}
	return float64(work) / max(1, slots*float64(due))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// starvedFirst returns the steps by their customers' ranks, after those of trainers that have
// had no group in time for too long.
func (pl *Planner) starvedFirst(steps []*Step, now time.Time) []*Step {
	pl.trackStarvation(steps, now)
	starved := func(st *Step) bool { return pl.starved[st.Trainer].duration(now) > starvationFactor*st.Due }
	ordered := slices.Clone(steps)
	slices.SortStableFunc(ordered, func(a, b *Step) int {
		return cmp.Or(compareBool(starved(b), starved(a)), cmp.Compare(a.Rank, b.Rank))
	})
	return ordered
}

// A candidate is a group to reserve capacity for.
type candidate struct {
	tier     tier
	group    *Group
	order    int     // index before sorting
	progress float64 // number of earlier groups of its step, as a fraction of the wanted ones
	step     *Step
	wanted   bool // the trainer waits for the group
}

// candidates returns all groups in the order in which capacity is reserved for them.
func (pl *Planner) candidates(steps []*Step) []candidate {
	var cds []candidate
	for _, st := range steps {
		for i, gr := range st.Groups {
			cds = append(cds, candidate{
				group: gr, progress: float64(i) / float64(max(st.Wanted, 1)), step: st, wanted: i < st.Wanted || gr.Again,
			})
		}
	}
	switch pl.Way {
	case ShortestFirst:
		slices.SortStableFunc(cds, func(a, b candidate) int { return cmp.Compare(a.group.Work, b.group.Work) })
	case EqualProgress:
		slices.SortStableFunc(cds, func(a, b candidate) int { return cmp.Compare(a.progress, b.progress) })
	case FirstInFirstOut, LeastSlack:
	}
	return cds
}
