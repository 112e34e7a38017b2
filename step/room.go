package step

import "wisteriacroft/overload"

// A room is the capacity plan of one service.
//
// Services are planned separately, since steps can't use the capacity of another service.
type room struct {
	planner overload.Planner
	// withRoom and without are the groups of open steps with and without reserved capacity, by
	// position. If stale is set, they are out of date.
	withRoom, without []*groupRow
	stale             bool
	// sendsAhead is set if full engines with a run about to end get one item in advance.
	sendsAhead bool
	// withinPart holds, for each customer with open steps, whether it asks for no more than
	// its share of the slots, as of the last plan.
	withinPart map[string]bool
}

// room returns the capacity plan of a service, and creates it if necessary.
func (ta *Table) room(service string) *room {
	rm := ta.rooms[service]
	if rm == nil {
		rm = &room{planner: overload.Planner{Way: ta.way}}
		ta.rooms[service] = rm
	}
	return rm
}

// staleRoom drops the order of a service's groups after its open steps have changed. This
// also frees the memory of ended steps.
func (ta *Table) staleRoom(service string) {
	if rm := ta.rooms[service]; rm != nil {
		rm.withRoom, rm.without, rm.stale = nil, nil, true
	}
}

// crowded reports whether a service is overloaded.
func (ta *Table) crowded(service string) bool {
	rm := ta.rooms[service]
	return rm != nil && rm.planner.Overloaded()
}

// sendsAhead reports whether full engines of a service with a run about to end get one item in
// advance.
func (ta *Table) sendsAhead(service string) bool {
	rm := ta.rooms[service]
	return rm != nil && rm.sendsAhead
}

// A RoomLoad is the load of a service.
type RoomLoad struct {
	Crowded bool    // the service is overloaded
	Load    float64 // work that trainers wait for, as a fraction of the capacity
}

// Rooms returns the load of each service with a capacity plan.
func (ta *Table) Rooms() map[string]RoomLoad {
	rooms := make(map[string]RoomLoad, len(ta.rooms))
	for service, rm := range ta.rooms {
		rooms[service] = RoomLoad{Crowded: rm.planner.Overloaded(), Load: rm.planner.Load()}
	}
	return rooms
}
