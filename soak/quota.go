package soak

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"wisteriacroft/platform/standin"
)

// A customer whose quota changes, and whose callers exceed it.
const (
	meteredCustomer = "dan"
	meteredRoute    = "metered"
	meteredPrefix   = "metered-" // of the ids of requests
	meteredCallers  = 6
	// meteredPause is the pause between two requests of a caller.
	meteredPause = 60 * time.Millisecond
	// quotaWindow is the time over which a quota may be exceeded by its overshoot.
	quotaWindow = 10 * time.Second
	// quotaTail is how much longer a run with a quota lasts, so that the last quota is
	// certainly in force for some time.
	quotaTail = 3 * time.Second
	// cutTime is how long an entry is cut off from the store.
	cutTime = 3 * time.Second
	// firstQuota is the quota in the first configuration, in requests a second.
	firstQuota = 8.0
)

// A quotaChange is a quota and the time of its write.
type quotaChange struct {
	writtenAt time.Time // may be in force from then on
	quota     float64
	inForceAt time.Time // in force everywhere from then on, in a quiet run
}

// sendMetered sends requests of a customer above its quota to all entries, until ctx ends.
func (rn *run) sendMetered(ctx context.Context) {
	if !rn.parts.has(quotaPart) {
		return
	}
	var all sync.WaitGroup
	for caller := range meteredCallers {
		all.Go(func() {
			cl := &http.Client{Timeout: callTime, Transport: &http.Transport{}}
			defer cl.CloseIdleConnections()
			for number := 0; ctx.Err() == nil; number++ {
				id := fmt.Sprintf("%s%d-%d", meteredPrefix, caller, number)
				rn.sendAtMostOnce(context.WithoutCancel(ctx), cl, caller+number, meteredCustomer, "/"+meteredRoute+"/"+id, id)
				sleep(ctx, meteredPause)
			}
		})
	}
	all.Wait()
}

// changeQuota raises the quota, cuts an entry off, kills the scheduler, which grants quota,
// and lowers the quota sharply.
func (rn *run) changeQuota(ctx context.Context, length time.Duration) {
	if !rn.parts.has(quotaPart) {
		return
	}
	rng := newStream(rn.opts.Seed, quotaStream)
	begun := time.Now()
	until := func(from, to float64) { sleep(ctx, between(rng, length, from, to)-time.Since(begun)) }
	until(0.05, 0.15)
	rn.writeQuota(ctx, float64(15+rng.IntN(10)))
	until(0.25, 0.35)
	rn.cutOff(rng.IntN(rn.opts.Entries))
	sleep(ctx, time.Duration(rng.IntN(500))*time.Millisecond)
	rn.loseScheduler(ctx, "under a quota")
	until(0.6, 0.7)
	rn.writeQuota(ctx, float64(2+rng.IntN(3)))
}

// writeQuota writes and records another quota.
func (rn *run) writeQuota(ctx context.Context, quota float64) {
	rn.recordEvent(fmt.Sprintf("quota of %s is %g", meteredCustomer, quota))
	from := time.Now()
	rn.world.keys.setQuota(quota)
	_ = rn.world.configure(ctx) // ends with ctx
	rn.quotas = append(rn.quotas, quotaChange{quota: quota, writtenAt: from, inForceAt: time.Now().Add(applyTime)})
}

// cutOff cuts an entry off from the store for cutTime, so that it learns of neither another
// lease holder nor another quota.
func (rn *run) cutOff(entry int) {
	name := fmt.Sprint("entry-", entry)
	for _, pg := range rn.world.programs {
		if pg.name != name {
			continue
		}
		rn.recordEvent("silence store of " + name + ", under a quota")
		pg.store.set(silence)
		time.AfterFunc(cutTime, func() {
			pg.store.set(pass)
			pg.store.reset()
			rn.recordEvent("store of " + name + " is back")
		})
	}
}

// checkQuota checks that within any quotaWindow no more requests began at endpoints than the
// quota and its overshoot allow, by the highest quota that may have been in force then. While
// faults are injected, that is the highest so far.
func (rn *run) checkQuota() {
	if !rn.parts.has(quotaPart) {
		return
	}
	starts := rn.firstStarts()
	rn.report.Metered = len(starts)
	first := 0
	for i, at := range starts {
		for at.Sub(starts[first]) >= quotaWindow {
			first++
		}
		// A window that begins later may have a lower highest quota.
		for from := first; from <= i; from++ {
			quota := rn.highestQuota(starts[from], at)
			allowed := quota*quotaWindow.Seconds()*(1+standin.QuotaOvershoot) + 1 + meteredCallers
			if count := float64(i - from + 1); count > allowed {
				rn.addViolation("%g requests of %s began within %s to %.1f, with a quota of %g", count, meteredCustomer,
					at.Sub(starts[from]), at.Sub(rn.begun).Seconds(), quota)
				return
			}
		}
	}
}

// firstStarts returns when each request of the customer with a quota first began, sorted.
func (rn *run) firstStarts() []time.Time {
	began := firstTimes{}
	for _, no := range rn.plainRuns() {
		if strings.HasPrefix(no.ID, meteredPrefix) {
			began.note(no.ID, no.At)
		}
	}
	return slices.SortedFunc(maps.Values(began), time.Time.Compare)
}

// highestQuota returns the highest quota that may have been in force anywhere in a period.
func (rn *run) highestQuota(from, to time.Time) float64 {
	highest := 0.0
	for i, qc := range rn.quotas {
		if i+1 < len(rn.quotas) && !from.Before(rn.inForceTime(rn.quotas[i+1])) || qc.writtenAt.After(to) {
			continue
		}
		highest = max(highest, qc.quota)
	}
	return highest
}

// inForceTime returns the time from which a quota is in force everywhere.
func (rn *run) inForceTime(qc quotaChange) time.Time {
	if calm := rn.faultsEnd.Add(settleTime); !rn.opts.Quiet && qc.inForceAt.Before(calm) {
		return calm
	}
	return qc.inForceAt
}
