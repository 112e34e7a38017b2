package cmd

import (
	"slices"
	"time"

	"wisteriacroft/directory"
	"wisteriacroft/forward"
	"wisteriacroft/scale"
	"wisteriacroft/step"
)

// A loadView is what a scheduler's process knows of the load of services whose endpoints
// may be ordered.
type loadView struct {
	census    *scale.LoadAggregator // of what entries tell
	directory *directory.Directory
	forwarder *forward.Forwarder // of calls of the process's own, which go to plain services
	scheduler *step.Scheduler
}

// services returns the services whose endpoints may be ordered, with their load. It returns
// none before the configuration is known, nor while only those of engines may be ordered
// and the open steps are not known.
func (lv *loadView) services(now time.Time) []scale.Service {
	co := lv.directory.Configuration()
	if co == nil {
		return nil
	}
	works, worksKnown := lv.scheduler.OpenWork(now)
	loads, loadsKnown := lv.loads(now)
	if !worksKnown && !slices.ContainsFunc(co.Services, directory.Service.ScalesPlain) {
		return nil
	}
	var ses []scale.Service
	for _, se := range co.Services {
		out := lv.service(se)
		switch {
		case se.ScalesEngines():
			out.Unknown, out.Work = !worksKnown, works[se.Name]
		case se.ScalesPlain():
			out.Slack, out.Unknown, out.Work = scale.PlainSlack, !loadsKnown || out.Places == 0, loads[se.Name].Work(out.Places)
		default:
			continue
		}
		ses = append(ses, out)
	}
	return ses
}

// loads returns what entries and this process see of plain services, and whether that is
// known. This process makes calls of its own to them, and is no entry: what it sees counts
// in the load, but not in the census.
func (lv *loadView) loads(now time.Time) (map[string]scale.Load, bool) {
	loads, known := lv.census.Loads(now)
	for service, se := range lv.forwarder.Loads(now) {
		loads[service] = loads[service].Add(se)
	}
	return loads, known
}

// service returns a service without its load. The configuration names the places of engines
// only; those of plain endpoints are what they say of themselves.
func (lv *loadView) service(se directory.Service) scale.Service {
	out := scale.Service{Domains: map[string]int{}, Name: se.Name, Places: se.Slots}
	if se.Scale != nil {
		out.Bounds = scale.Bounds{Startup: se.Scale.Startup, Max: se.Scale.Max, Min: se.Scale.Min}
	}
	for _, en := range lv.directory.Endpoints(se.Name) {
		if en.Leaving {
			continue
		}
		out.Domains[en.Domain]++
		if se.ScalesPlain() {
			out.Places = max(out.Places, en.Slots)
		}
	}
	return out
}
