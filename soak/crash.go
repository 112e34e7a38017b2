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
	// crashPrefix is the prefix of the ids of requests that crash endpoints.
	crashPrefix = "crash-"
	// crashItem is the sound item under which maxEngineEnds engines crash, one after the other.
	crashItem     = "step-0-0-0"
	maxEngineEnds = 7
	// crashPause is the pause between two crash requests.
	crashPause = 400 * time.Millisecond
	// downTime is the time from an endpoint's crash to its restart.
	downTime = 700 * time.Millisecond
	// crashLimit is how many endpoints a request may crash before it must be
	// quarantined, propagationTime how long the quarantine may take to reach all processes,
	// and extraCrashes how many more endpoints the request may reach after that.
	crashLimit      = 3
	propagationTime = 3 * time.Second
	extraCrashes    = 3
)

// crashFunc returns a function that crashes an endpoint, which restarts after downTime.
func crashFunc(restart func(), pr *proxy) func() {
	return func() {
		restart()
		pr.crash()
		time.AfterFunc(downTime, func() { _ = pr.revive() }) // stays down if the port is in use; then the check of calls fails
	}
}

// crashByChance returns a function that crashes an engine unless that has happened maxEngineEnds times.
func (wo *world) crashByChance(crash func()) func() bool {
	return func() bool {
		if wo.engineEnds.Add(1) > maxEngineEnds {
			return false
		}
		crash()
		return true
	}
}

// bodyOf returns the body of an item.
func (rn *run) bodyOf(item string) []byte {
	if rn.opts.Crashes && item == crashItem {
		return []byte(standin.CrashBody)
	}
	return []byte(item)
}

// sendCrashRequests repeatedly sends a request that crashes each plain endpoint that runs it,
// through alternating entries. In a quiet run, it kills all programs at once half-way
// through, and later makes the store unavailable for a while.
func (rn *run) sendCrashRequests(ctx context.Context, length time.Duration) {
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
		// The result is checked at the endpoints.
		_, _, _ = rn.client(cl, number).Call(ctx, "/safe/crash", fmt.Sprint(crashPrefix, number), body, callDeadline)
		sleep(ctx, crashPause)
	}
}

func (rn *run) killAll() {
	rn.recordEvent("kill all")
	for _, pg := range rn.world.programs {
		pg.signal(syscall.SIGKILL)
	}
}

// checkCrashes checks that a request that crashes its endpoints is not sent to more of
// them, and that an item under which engines have crashed is run all the same.
func (rn *run) checkCrashes() {
	var requests []time.Time
	for _, no := range rn.plainRuns() {
		if strings.HasPrefix(no.ID, crashPrefix) {
			requests = append(requests, no.At)
		}
	}
	rn.report.Crashes = len(requests)
	rn.checkCrashTimes(requests)
	if rn.opts.Crashes {
		rn.checkCrashItem()
	}
}

// checkCrashItem checks that crashItem was run to its end. Other faults may end its step sooner.
func (rn *run) checkCrashItem() {
	rn.report.EngineCrashes = min(int(rn.world.engineEnds.Load()), maxEngineEnds)
	for _, en := range rn.world.engines {
		for _, no := range en.Ends() {
			if no.ID == crashItem {
				return
			}
		}
	}
	if rn.opts.Quiet && rn.report.EngineCrashes > 0 {
		rn.addViolation("item %s under which %d engines had ended was not run to its end", crashItem, rn.report.EngineCrashes)
	}
}

// checkCrashTimes checks the times at which a crashing request reached endpoints. Each other fault may delay the
// quarantine at one process.
func (rn *run) checkCrashTimes(runs []time.Time) {
	if len(runs) < crashLimit {
		return
	}
	slices.SortFunc(runs, time.Time.Compare)
	known := runs[crashLimit-1].Add(propagationTime)
	later := 0
	for _, at := range runs {
		if at.After(known) {
			later++
		}
	}
	allowed := extraCrashes
	if !rn.opts.Quiet {
		allowed += len(rn.report.Faults)
	}
	if later > allowed {
		rn.addViolation("a request under which %d endpoints had ended was sent to endpoints %d times more, %d in all", crashLimit, later, len(runs))
	}
}
