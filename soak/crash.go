package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"wisteriacroft/keyvalue"
	"wisteriacroft/platform/standin"
)

const (
	// crashPrefix begins the ids of the tries of the request that ends endpoints.
	crashPrefix = "crash-"
	// crashItem is the item that ends the engines that run it.
	crashItem = "step-0-0-0"
	// crashPause is between two tries of it.
	crashPause = 400 * time.Millisecond
	// downTime is after how long an endpoint that ended starts again.
	downTime = 700 * time.Millisecond
	// enoughCrashes is how many endpoints may end before a request counts as their
	// cause, learnTime how long all processes have to hear of it, and moreCrashes
	// how many endpoints it may reach after that.
	enoughCrashes = 3
	learnTime     = 3 * time.Second
	moreCrashes   = 3
)

// crashFunc returns what ends an endpoint, which starts again after a while.
func crashFunc(restart func(), pr *proxy) func() {
	return func() {
		restart()
		pr.crash()
		time.AfterFunc(downTime, func() { _ = pr.revive() }) // stays down if the port is taken, which the callers' check shows
	}
}

// bodyOf returns the body of an item.
func (rn *run) bodyOf(item string) []byte {
	if rn.opts.Crashes && item == crashItem {
		return []byte(standin.CrashBody)
	}
	return []byte(item)
}

// crashDesks sends one request that ends each plain endpoint that runs it, at one
// entry after the other. Without other faults, half-way through all programs are
// killed at once, and later the store goes away for a while.
func (rn *run) crashDesks(ctx context.Context, length time.Duration) {
	if !rn.opts.Crashes {
		return
	}
	if rn.opts.Quiet {
		time.AfterFunc(length/2, rn.killAll)
		time.AfterFunc(length*3/4, func() { rn.world.store.Memory.SetFaults(keyvalue.Faults{Outage: true}) })
		time.AfterFunc(length, func() { rn.world.store.Memory.SetFaults(keyvalue.Faults{}) })
	}
	cl := &http.Client{Timeout: callTime, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(length)
	for number := 0; time.Now().Before(end) && ctx.Err() == nil; number++ {
		body := io.MultiReader(strings.NewReader(standin.CrashBody))
		// What becomes of it is seen at the endpoints.
		_, _, _ = rn.client(cl, number).Call(ctx, "/safe/crash", fmt.Sprint(crashPrefix, number), body, callDeadline)
		sleep(ctx, crashPause)
	}
}

func (rn *run) killAll() {
	rn.note("kill all")
	for _, pg := range rn.world.programs {
		pg.signal(syscall.SIGKILL)
	}
}

// judgeCrashes checks that a request that ends its endpoints does not go on to
// reach them. Each other fault may keep one process from hearing of it for a while.
func (rn *run) judgeCrashes() {
	var requests, items []time.Time
	for _, no := range rn.deskNotes() {
		if strings.HasPrefix(no.ID, crashPrefix) {
			requests = append(requests, no.At)
		}
	}
	for _, en := range rn.world.engines {
		for _, no := range en.Notes() {
			if rn.opts.Crashes && no.ID == crashItem {
				items = append(items, no.At)
			}
		}
	}
	rn.report.Crashes, rn.report.EngineCrashes = len(requests), len(items)
	rn.checkCrashes("request", requests)
	rn.checkCrashes("item", items)
}

// checkCrashes checks the times at which what ends its endpoints reached them.
func (rn *run) checkCrashes(what string, runs []time.Time) {
	if len(runs) < enoughCrashes {
		return
	}
	slices.SortFunc(runs, time.Time.Compare)
	known := runs[enoughCrashes-1].Add(learnTime)
	later := 0
	for _, at := range runs {
		if at.After(known) {
			later++
		}
	}
	allowed := moreCrashes
	if !rn.opts.Quiet {
		allowed += len(rn.report.Faults)
	}
	if later > allowed {
		rn.violate("%s under which %d endpoints had ended was sent to endpoints %d times more, %d in all", what, enoughCrashes, later, len(runs))
	}
}
