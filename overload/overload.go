// Package overload decides which groups of open steps the engines' room is for
// when trainers ask for more than the engines can end in time.
//
// Load pattern: each trainer has two steps open. Each step has more items than the engines
// have places, and all steps together are more work than the engines can do until the steps
// are due. Placed by time to spare alone, all items end at about the same moment, after
// that time: all of the work is done, and none of it is in time.
//
// The package does no I/O and reads no clock.
package overload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// crowdedPart and roomyPart are the parts of the room that the load must reach for the
	// room to be crowded, and fall below for that to be over: hysteresis, as the order of
	// placing changes with it. They are far below the whole, since hints may be too low and
	// work that seems to need half of the room may fill it.
	crowdedPart = 0.55
	roomyPart   = 0.4
	// emptyPart is the part below which the room isn't crowded, even if groups have none:
	// these few are groups with an item that takes longer than is left.
	emptyPart = 0.25
	// usablePart is the part of the room that is given away: places stand empty for a
	// moment between two runs, and weights are loaded meanwhile.
	usablePart = 0.75
	// starvedAfter is how many times a step's whole time a trainer must have had no group
	// in time for its steps to go first. It has two steps open, and both were late then.
	starvedAfter = 2
)

// A Group is as many items of a step as count only together.
type Group struct {
	Again   bool          // the trainer waits for it, whatever else is whole
	Longest time.Duration // what the longest of its open items takes still
	Work    time.Duration // what its open items take still, one after the other

	inTime   bool
	order    int // among the groups of its step, as given
	position int
}

// InTime reports whether room is kept for the group, so that it can be in time.
func (gr *Group) InTime() bool { return gr.inTime }

// Position returns the group's place in the order of all groups: the lowest goes first.
func (gr *Group) Position() int { return gr.position }

// A Step is an open step. Its groups that are whole are left out.
type Step struct {
	Due      time.Duration // what the step may take
	GivesUp  time.Duration // until its trainer is expected to wait no longer; 0 means unknown
	Groups   []*Group
	Left     time.Duration // until it is due; negative if it is late
	Rank     int           // of its customer: the lowest chooses room first
	ServedAt time.Time     // its last group was whole in time; zero if none was
	Trainer  string
	Wanted   int // groups that its trainer waits for still

	work time.Duration // of the groups that this plan keeps room for
}

// Demand returns how many places the groups that the trainer waits for need in the time that
// the step may take.
func (st *Step) Demand() float64 { return float64(st.wantedWork()) / float64(max(st.Due, 1)) }

// wantedWork returns what the groups that the trainer waits for take still: those that go
// first.
func (st *Step) wantedWork() time.Duration {
	var work time.Duration
	for _, gr := range st.Groups[:min(max(st.Wanted, 0), len(st.Groups))] {
		work += gr.Work
	}
	return work
}

// A Discipline is an order in which steps share too little room.
type Discipline int

// The ways.
const (
	// FirstInFirstOut ends one step after the other, as they were handed in.
	FirstInFirstOut Discipline = iota
	// ShortestFirst ends groups in the order of their work, of whatever step.
	ShortestFirst
	// EqualProgress lets all steps get on alike.
	EqualProgress
	// LeastSlack leaves the order to the time that items have to spare: it is never crowded.
	LeastSlack
)

// A Planner decides. The zero Planner is ready to use.
type Planner struct {
	// Lingers says that the room stays crowded while a group that a trainer waits for has
	// no room and its step is not late yet.
	//
	// The load falls as groups of half finished steps end. If items were then placed by time
	// to spare again, those that will be late anyway would go first, and make the steps late
	// that room was kept for.
	Lingers bool
	Way     Discipline

	crowded bool
	starved map[string]*starvation // by trainer
	load    float64
}

// Overloaded reports whether there is too little room for all open steps.
func (pl *Planner) Overloaded() bool { return pl.crowded }

// Load returns the work that is asked for, as a part of the room in the time that a
// step may take.
func (pl *Planner) Load() float64 { return pl.load }

// Idle reports whether the planner holds no state that a new one would lack.
func (pl *Planner) Idle() bool { return !pl.crowded && len(pl.starved) == 0 }

// Plan decides which groups of the open steps room is kept for, and gives all groups their
// positions. Steps come oldest first. Places is how many the engines have, those of slow
// engines counted in part.
func (pl *Planner) Plan(steps []*Step, places float64, now time.Time) {
	pl.load = load(steps, places)
	short := false // a group that is waited for has no room, and its step is not late yet
	steps = pl.starvedFirst(steps, now)
	cds, ro := pl.candidates(steps), newRoom(steps, usablePart*places)
	for i := range cds {
		gr, st := cds[i].group, cds[i].step
		cds[i].chance = chanceOf(cds[i])
		gr.inTime = cds[i].chance == possible && ro.fits(st, gr.Work)
		short = short || cds[i].wanted && !gr.inTime && st.Left > 0
		if gr.inTime { // what follows must leave room for it
			cds[i].chance = planned
			st.work += gr.Work
		}
	}
	for position, cd := range byChance(cds) {
		cd.group.position = position
	}
	pl.setCrowded(short)
}

// setCrowded decides whether the room is crowded, by the load and by whether a group that is
// waited for is short of room.
func (pl *Planner) setCrowded(short bool) {
	switch {
	case pl.Way == LeastSlack:
	case pl.load >= crowdedPart:
		pl.crowded = true
	case pl.load < emptyPart, pl.load < roomyPart && (!pl.Lingers || !short):
		pl.crowded = false
	}
}

// A chance is how likely a group is to be of use to its trainer.
type chance int

// The chances, the best first.
const (
	planned  chance = iota // room is kept for it
	possible               // it can be in time, but the room is kept for others
	late                   // it can be whole before its trainer gives up
	hopeless
)

// chanceOf returns a group's chance before any room is kept for it.
func chanceOf(cd candidate) chance {
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

// load returns the work that trainers wait for, as a part of what places can do in the
// time that a step may take.
func load(steps []*Step, places float64) float64 {
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
	return float64(work) / max(1, places*float64(due))
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

// starvedFirst orders steps by the ranks of their customers, after those whose trainers
// have had no group in time for too long.
//
// Otherwise a trainer whose steps always come behind those of others would have no group in
// time until the overload ends.
func (pl *Planner) starvedFirst(steps []*Step, now time.Time) []*Step {
	pl.trackStarvation(steps, now)
	starved := func(st *Step) bool { return pl.starved[st.Trainer].lasts(now) > starvedAfter*st.Due }
	ordered := slices.Clone(steps)
	slices.SortStableFunc(ordered, func(a, b *Step) int {
		return cmp.Or(compareBool(starved(b), starved(a)), cmp.Compare(a.Rank, b.Rank))
	})
	return ordered
}

// A candidate is a group that asks for room.
type candidate struct {
	chance chance
	group  *Group
	order  int     // as given
	part   float64 // groups of its step that go before it, as a part of those waited for
	step   *Step
	wanted bool // its trainer waits for it
}

// candidates returns all groups in the order in which they are given room.
func (pl *Planner) candidates(steps []*Step) []candidate {
	var cds []candidate
	for _, st := range steps {
		for i, gr := range st.Groups {
			cds = append(cds, candidate{
				group: gr, part: float64(i) / float64(max(st.Wanted, 1)), step: st, wanted: i < st.Wanted || gr.Again,
			})
		}
	}
	switch pl.Way {
	case ShortestFirst:
		slices.SortStableFunc(cds, func(a, b candidate) int { return cmp.Compare(a.group.Work, b.group.Work) })
	case EqualProgress:
		slices.SortStableFunc(cds, func(a, b candidate) int { return cmp.Compare(a.part, b.part) })
	case FirstInFirstOut, LeastSlack:
	}
	return cds
}
