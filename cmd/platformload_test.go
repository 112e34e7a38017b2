package cmd

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/directory"
	"wisteriacroft/forward"
	"wisteriacroft/scale"
	"wisteriacroft/step"
)

func TestLoadView(t *testing.T) {
	di := &directory.Directory{}
	lv := &loadView{
		aggregator: &scale.LoadAggregator{}, directory: di, forwarder: &forward.Forwarder{Directory: di}, scheduler: &step.Scheduler{},
	}
	now := time.Now()
	assert.Equal(t, len(lv.services(now)), 0, "no configuration")
	bounds := &directory.Scale{Startup: 3 * time.Second, Max: 4, Min: 1}
	engines := directory.Service{Models: []directory.Model{{Name: "m"}}, Name: "llm", Scale: bounds, Slots: 8}
	di.SetConfiguration(&directory.Configuration{Services: []directory.Service{{Name: "desk"}, engines}, Version: 1})
	assert.Equal(t, len(lv.services(now)), 0, "the load of the engines is unknown, and no plain service can be scaled")

	di.SetConfiguration(&directory.Configuration{
		Services: []directory.Service{{Name: "desk", Scale: bounds}, {Name: "other"}, engines}, Version: 2,
	})
	desk := scale.Service{
		Bounds: scale.Bounds{Startup: 3 * time.Second, Max: 4, Min: 1}, Domains: map[string]int{}, Name: "desk", Slack: scale.PlainSlack, Unknown: true,
	}
	llm := scale.Service{Bounds: desk.Bounds, Domains: map[string]int{}, Name: "llm", Places: 8, Unknown: true}
	assert.DeepEqual(t, lv.services(now), []scale.Service{desk, llm})

	lv.aggregator.Report("entry-1", map[string]scale.Observation{"desk": {Begun: 10, Busy: 5 * time.Second, Span: time.Second}}, now)
	assert.Assert(t, lv.services(now)[0].Unknown, "the places of its endpoints are unknown")
	for i, domain := range []string{"a", "a", "b"} {
		di.SetEndpoint(directory.Endpoint{Address: string(rune('1' + i)), Domain: domain, ID: string(rune('x' + i)), Leaving: i == 1, Service: "desk", Slots: 4})
	}
	desk.Domains, desk.Places, desk.Unknown = map[string]int{"a": 1, "b": 1}, 4, false
	desk.Work = scale.Work{{Due: 2 * time.Second, Work: 10 * time.Second}}
	assert.DeepEqual(t, lv.services(now), []scale.Service{desk, llm})
	assert.Equal(t, desk.Desired(), 2)
}
