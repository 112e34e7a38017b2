package main

import (
	"context"
	"fmt"
	"time"
)

// A deployment is the machines of a case.
type deployment struct {
	attendants []*process
	engines    []*server
	fronts     []*process
	plain      []*server
	schedulers []*process
}

// A plan says what a deployment consists of.
type plan struct {
	engine  traits
	engines int
	fronts  int
	plain   traits
	plains  int
	routes  []route
	slots   int // of an engine
}

// deploy starts the servers, writes the first configuration and starts the project's programs.
func (w *world) deploy(ctx context.Context, pl plan) (*deployment, error) {
	de := &deployment{}
	pl.engine.slots = pl.slots
	w.configure(1, pl.slots, pl.routes...)
	for i := range pl.engines {
		ip := fmt.Sprintf("%s%d", w.net, 31+i)
		en, err := w.serve(&server{traits: pl.engine, ip: ip, service: llmService})
		if err != nil {
			return nil, err
		}
		de.engines = append(de.engines, en)
		pr, err := w.launch("attendant", "side", fmt.Sprintf("side-%d", i+1), ip)
		if err != nil {
			return nil, err
		}
		de.attendants = append(de.attendants, pr)
	}
	for i := range pl.plains {
		se, err := w.serve(&server{traits: pl.plain, ip: fmt.Sprintf("%s%d", w.net, 61+i), service: webService})
		if err != nil {
			return nil, err
		}
		de.plain = append(de.plain, se)
	}
	for i := range 3 {
		pr, err := w.launch("scheduler", "store", fmt.Sprintf("store-%d", i+1), fmt.Sprintf("%s%d", w.net, 21+i))
		if err != nil {
			return nil, err
		}
		de.schedulers = append(de.schedulers, pr)
	}
	for i := range pl.fronts {
		pr, err := w.launch("entry", "front", fmt.Sprintf("front-%d", i+1), fmt.Sprintf("%s%d", w.net, 11+i))
		if err != nil {
			return nil, err
		}
		de.fronts = append(de.fronts, pr)
	}
	for _, pr := range de.fronts {
		if err := w.ready(ctx, pr); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second) // traffic starts some seconds after the machines
	return de, nil
}

// rolloutRoute is the route of the batch submissions, with the figures of the site's sheet.
func rolloutRoute() route {
	return route(fmt.Sprintf(`{"name":"r-rollout","host":%q,"prefix":"/assess/","kind":"rollout","timeout_ms":10000,"goal_ms":500,`+
		`"priority":0,"service":%q,"max_attempts":3,"max_wait_s":40.0,"due_ms":7500,"sticky":true,"resumable":true}`, host, llmService))
}

// groupsOf returns the items and their groups.
func groupsOf(name string, groups, size int) (items, of []string) {
	for g := range groups {
		for m := range size {
			items = append(items, fmt.Sprintf("%s-%03d-%d", name, g, m))
			of = append(of, fmt.Sprintf("%s-%03d", name, g))
		}
	}
	return items, of
}
