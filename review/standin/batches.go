package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds of the rule LOST for steps that run out of time, and of the steady state.
const (
	nowhereFor  = 5 * time.Second
	noVersion   = 6 * time.Second
	stableAfter = 3 * time.Second
)

// A watch samples how many requests are at work at the model servers.
type watch struct {
	busy  time.Time // when at least half of the slots were last taken
	slots int
	w     *world
}

func (wa *watch) run(ctx context.Context) {
	for ctx.Err() == nil {
		if _, active := wa.w.allRuns(); 2*active >= wa.slots {
			wa.busy = time.Now()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// lost judges a step that has run out of time: it returns the items that no server has finished or failed and that were at no
// server for 5 s of steady state before its end. The state is steady from 3 s after the last disturbance on.
func (w *world) lost(lo *lot, end, disturbed, named, busy time.Time) []string {
	from := end.Add(-nowhereFor)
	switch {
	case from.Before(disturbed.Add(stableAfter)):
		return nil // not steady for long enough
	case end.Sub(named) < noVersion:
		return nil // a version was named shortly before
	case busy.After(from):
		return nil // the servers were half full
	}
	runs, _ := w.allRuns()
	begun := slices.ContainsFunc(runs, func(ru run) bool { return slices.Contains(lo.items, ru.id) })
	var ids []string
	w.rec.note("judge: %d items are not listed, some have begun: %v", len(lo.missing()), begun)
	for _, id := range lo.missing() {
		nowhere := !slices.ContainsFunc(runs, func(ru run) bool {
			return ru.id == id && (ru.end == "" || ru.end == "end" || ru.ended.After(from))
		})
		if begun && nowhere {
			ids = append(ids, id)
		}
	}
	return ids
}

// describe notes all runs of an item.
func (w *world) describe(id string) {
	runs, _ := w.allRuns()
	for _, ru := range runs {
		if ru.id == id {
			w.rec.note("item %s: at %s from %.3f to %.3f after event %d: %s", id, ru.server, ru.begun.Sub(w.rec.begun).Seconds(),
				ru.ended.Sub(w.rec.begun).Seconds(), ru.after, ru.end)
		}
	}
}

// playCrashes crashes two of eleven model servers at a time, again and again, while a trainer asks for steps. The groups that a step
// leaves incomplete come again in the next one.
func playCrashes(ctx context.Context, w *world, trouble bool) (verdict, error) {
	const engines, slots = 11, 12
	de, err := w.deploy(ctx, plan{
		engine:  traits{events: lengthOf, gap: 50 * time.Millisecond, size: 350},
		engines: engines, fronts: 2, routes: []route{rolloutRoute()}, slots: slots,
	})
	if err != nil {
		return verdict{}, err
	}
	wa := &watch{slots: engines * slots, w: w}
	go wa.run(ctx)
	calm := make(chan time.Time, 1)
	stop := time.Now().Add(crashes * crashEvery)
	go func() {
		if trouble {
			crashInTurn(de.engines)
		}
		calm <- time.Now()
	}()
	tr := &trainer{de: de, w: w, watch: wa}
	for step := 0; ctx.Err() == nil && time.Now().Before(stop.Add(28*time.Second)); step++ {
		select {
		case tr.disturbed = <-calm:
		default:
		}
		ve, err := tr.step(ctx, step)
		if err != nil || ve.broken {
			return ve, err
		}
	}
	return verdict{false, "no item stayed away from the servers"}, nil
}

// lengthOf returns the number of an item's events: 15 to 44 of most items, 90 to 149 of one in eight. The site file has a mean of 27, a
// tail and at most 195.
func lengthOf(id string) int {
	sum := 7
	for _, by := range []byte(id) {
		sum = (sum*31 + int(by)) % 1009
	}
	if sum%8 == 0 {
		return 90 + sum%60
	}
	return 15 + sum%30
}

// Two servers at a time crash, for crashFor, again and again: never more than 0.195 of all, the largest share of the site file.
const (
	crashes    = 58
	crashEvery = 1050 * time.Millisecond
	crashFor   = time.Second
)

// crashInTurn crashes two servers drawn by lot at a time.
func crashInTurn(servers []*server) {
	for range crashes {
		begun := time.Now()
		first := rand.IntN(len(servers))
		second := (first + 1 + rand.IntN(len(servers)-1)) % len(servers)
		servers[first].crash()
		servers[second].crash()
		time.Sleep(crashFor)
		for _, se := range []*server{servers[first], servers[second]} {
			if err := se.start(); err != nil {
				se.w.rec.note("server doesn't start: %v", err)
			}
		}
		time.Sleep(max(0, crashEvery-time.Since(begun)))
	}
}

// A trainer asks for steps of 45 groups, one after the other.
type trainer struct {
	carry     []string // items of incomplete groups
	carried   []string // the group of each of them
	de        *deployment
	disturbed time.Time // when the disturbance ended; zero before
	named     time.Time
	w         *world
	watch     *watch
}

// step asks for one step, and judges it if it runs out of time.
func (tr *trainer) step(ctx context.Context, number int) (verdict, error) {
	items, of := groupsOf(fmt.Sprintf("s%02d", number), 45-len(tr.carry)/4, 4)
	lo := &lot{
		entries: tr.de.fronts, groups: slices.Concat(tr.carried, of), id: fmt.Sprintf("lot%02d", number), items: slices.Concat(tr.carry, items),
		number: number, oldest: uint64(max(number, 1)), prefix: "/assess/", target: 41, w: tr.w,
	}
	if err := lo.submit(ctx); err != nil {
		return verdict{}, err
	}
	until := lo.accepted.Add(12 * time.Second)
	lo.follow(ctx, until, func() bool { return lo.served(tr.carried) })
	out := !lo.served(tr.carried)
	lo.end(ctx)
	tr.w.rec.say("step %d: %d of %d items listed after %.1f s, out of time: %v", number, len(lo.listed), len(lo.items), time.Since(lo.accepted).Seconds(), out)
	if out && !tr.disturbed.IsZero() {
		if ids := tr.w.lost(lo, until, tr.disturbed, tr.named, tr.watch.busy); len(ids) > 0 {
			for _, id := range ids {
				tr.w.describe(id)
			}
			return verdict{true, fmt.Sprintf("LOST: step %d ran out of time; items at no server for 5 s of steady state: %v", number, ids)}, nil
		}
	}
	tr.carry, tr.carried = lo.incomplete()
	time.Sleep(500 * time.Millisecond)
	tr.named = time.Now()
	tr.w.nameVersion(uint64(number + 2))
	return verdict{}, nil
}

// open returns the groups that are not complete.
func (lo *lot) open() map[string]bool {
	groups := map[string]bool{}
	for i, id := range lo.items {
		if _, ok := lo.listed[id]; !ok {
			groups[lo.groups[i]] = true
		}
	}
	return groups
}

// served reports whether the trainer has what it waits for: enough groups, and all of those that came again.
func (lo *lot) served(carried []string) bool {
	open := lo.open()
	all := map[string]bool{}
	for _, group := range lo.groups {
		all[group] = true
	}
	return len(all)-len(open) >= lo.target && !slices.ContainsFunc(carried, func(group string) bool { return open[group] })
}

// incomplete returns the items of incomplete groups and their groups, at most half of the target.
func (lo *lot) incomplete() (items, groups []string) {
	keep := slices.Sorted(maps.Keys(lo.open()))
	keep = keep[:min(20, len(keep))]
	for i, group := range lo.groups {
		if slices.Contains(keep, group) {
			items, groups = append(items, lo.items[i]), append(groups, group)
		}
	}
	return items, groups
}
