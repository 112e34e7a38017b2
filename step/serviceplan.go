package step

import "wisteriacroft/overload"

// A servicePlan is the capacity plan of one service.
//
// Services are planned separately, since steps can't use the capacity of another service.
type servicePlan struct {
	planner overload.Planner
	// reserved and unreserved are the groups of open steps with and without reserved capacity, by
	// position. If stale is set, they are out of date.
	reserved, unreserved []*groupRow
	stale                bool
	// prequeues is set if full engines with a run about to end get one item in advance.
	prequeues bool
	// withinShare holds, for each customer with open steps, whether it asks for no more than
	// its share of the slots, as of the last plan.
	withinShare map[string]bool
}

// servicePlan returns the capacity plan of a service, and creates it if necessary.
func (ta *Table) servicePlan(service string) *servicePlan {
	sp := ta.servicePlans[service]
	if sp == nil {
		sp = &servicePlan{planner: overload.Planner{Way: ta.policy}}
		ta.servicePlans[service] = sp
	}
	return sp
}

// markPlanStale drops the order of a service's groups after its open steps have changed. This
// also frees the memory of ended steps.
func (ta *Table) markPlanStale(service string) {
	if sp := ta.servicePlans[service]; sp != nil {
		sp.reserved, sp.unreserved, sp.stale = nil, nil, true
	}
}

// overloaded reports whether a service is overloaded.
func (ta *Table) overloaded(service string) bool {
	sp := ta.servicePlans[service]
	return sp != nil && sp.planner.Overloaded()
}

// prequeues reports whether full engines of a service with a run about to end get one item in
// advance.
func (ta *Table) prequeues(service string) bool {
	sp := ta.servicePlans[service]
	return sp != nil && sp.prequeues
}

// A ServiceLoad is the load of a service.
type ServiceLoad struct {
	Crowded bool    // the service is overloaded
	Load    float64 // work that trainers wait for, as a fraction of the capacity
}

// ServiceLoads returns the load of each service with a capacity plan.
func (ta *Table) ServiceLoads() map[string]ServiceLoad {
	loads := make(map[string]ServiceLoad, len(ta.servicePlans))
	for service, sp := range ta.servicePlans {
		loads[service] = ServiceLoad{Crowded: sp.planner.Overloaded(), Load: sp.planner.Load()}
	}
	return loads
}
