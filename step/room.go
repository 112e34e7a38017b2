package step

import "wisteriacroft/overload"

// A room is what the engines of one service can do, and which of its steps it is kept for.
//
// Each service has its own: planned together, free room of one would be kept for steps that
// can't run there, and one with too little would make the others crowded.
type room struct {
	planner overload.Planner
	// withRoom and without are the groups of open steps that room is kept for, and the others, by
	// their positions. If stale, they are of an earlier plan, or of other steps.
	withRoom, without []*groupRow
	stale             bool
	// sendsAhead says that a full engine of which a run is about to end is sent one item more.
	sendsAhead bool
	// withinPart says of each customer with open steps, by the last plan, whether it asks for
	// no more than its part of the places.
	withinPart map[string]bool
}

// room returns a service's room.
func (ta *Table) room(service string) *room {
	rm := ta.rooms[service]
	if rm == nil {
		rm = &room{planner: overload.Planner{Way: ta.way}}
		ta.rooms[service] = rm
	}
	return rm
}

// staleRoom marks the order of a service's groups as stale, as its open steps are others
// now, and drops it, so that steps that have ended aren't kept in memory.
func (ta *Table) staleRoom(service string) {
	if rm := ta.rooms[service]; rm != nil {
		rm.withRoom, rm.without, rm.stale = nil, nil, true
	}
}

// crowded reports whether a service has too little room for its open steps.
func (ta *Table) crowded(service string) bool {
	rm := ta.rooms[service]
	return rm != nil && rm.planner.Overloaded()
}

// sendsAhead reports whether a full engine of a service of which a run is about to end is
// sent one item more.
func (ta *Table) sendsAhead(service string) bool {
	rm := ta.rooms[service]
	return rm != nil && rm.sendsAhead
}

// A RoomLoad is how much of a service's room is asked for.
type RoomLoad struct {
	Crowded bool    // there is too little room
	Load    float64 // the work that trainers wait for, as a part of the room
}

// Rooms returns how much of each service's room is asked for, by service.
func (ta *Table) Rooms() map[string]RoomLoad {
	rooms := make(map[string]RoomLoad, len(ta.rooms))
	for service, rm := range ta.rooms {
		rooms[service] = RoomLoad{Crowded: rm.planner.Overloaded(), Load: rm.planner.Load()}
	}
	return rooms
}
