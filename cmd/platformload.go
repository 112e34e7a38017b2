package cmd

import (
	"slices"
	"time"

	"wisteriacroft/directory"
	"wisteriacroft/forward"
	"wisteriacroft/scale"
	"wisteriacroft/step"
)

// A loadView collects the load of the services that can be scaled, in a scheduler's process.
type loadView struct {
	aggregator *scale.LoadAggregator // loads reported by entries
	directory  *directory.Directory
	forwarder  *forward.Forwarder // of the process's own calls to plain services
	scheduler  *step.Scheduler
}

// services returns the services that can be scaled, with their load. It returns none
// without a configuration, or if only engines can be scaled and the open steps are unknown.
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

// loads returns the load of plain services, and whether it is known. It adds the load of
// this process's own calls to that reported by entries.
func (lv *loadView) loads(now time.Time) (map[string]scale.Load, bool) {
	loads, known := lv.aggregator.Loads(now)
	for service, lo := range lv.forwarder.Loads(now) {
		loads[service] = loads[service].Add(lo)
	}
	return loads, known
}

// service returns a service without its load. The number of places of an engine is in the
// configuration; plain endpoints report their own.
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
