package main

import (
	"context"
	"fmt"
	"maps"
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
			return verdict{true, fmt.Sprintf("LOST: step %d ran out of time; %d items at no server for 5 s of steady state, %s first", number, len(ids), ids[0])}, nil
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
