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

// Customers of the deployment. The trainer belongs to the first; callers belong to both,
// and one caller to none.
const (
	firstCustomer  = "ada"
	secondCustomer = "bob"
	unknownKey     = "key-of-no-customer"
	unknownCaller  = callers - 1 // the caller that sends it
)

const (
	// applyTime is how long a configuration may take to be in force at all entries that
	// can reach the store.
	applyTime = 3500 * time.Millisecond
	// usageReportTime is the latest time after its end at which a window is reported.
	usageReportTime = 6 * time.Second
)

// keys holds the customers' keys, which are rotated during a run.
type keys struct {
	valid   map[string][]string // by customer; the last one is the newest
	mu      sync.Mutex
	number  int
	quota   float64           // of the customer with one
	sent    map[string]string // by customer
	version int64
}

func newKeys() *keys {
	ks := &keys{valid: map[string][]string{}, quota: firstQuota, sent: map[string]string{}, version: 1}
	for _, customer := range []string{firstCustomer, secondCustomer, crowdCustomer, meteredCustomer} {
		ks.add(customer)
		ks.sendNewest(customer)
	}
	return ks
}

// add adds a key for a customer.
func (ks *keys) add(customer string) {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	ks.number++
	ks.valid[customer] = append(ks.valid[customer], fmt.Sprintf("key-%d-of-%s", ks.number, customer))
	ks.version++
}

// sendNewest makes callers send a customer's newest key.
func (ks *keys) sendNewest(customer string) {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	ks.sent[customer] = ks.valid[customer][len(ks.valid[customer])-1]
}

// removeOld removes all keys of a customer but the newest.
func (ks *keys) removeOld(customer string) {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	ks.valid[customer] = ks.valid[customer][len(ks.valid[customer])-1:]
	ks.version++
}

// setQuota changes the quota.
func (ks *keys) setQuota(quota float64) {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	ks.quota = quota
	ks.version++
}

// snapshot returns the customers' keys and quotas, and the configuration's version.
func (ks *keys) snapshot() (held map[string][]string, quotas map[string]float64, version int64) {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	held = map[string][]string{}
	for customer, all := range ks.valid {
		held[customer] = slices.Clone(all)
	}
	return held, map[string]float64{meteredCustomer: ks.quota}, ks.version
}

// of returns the key that a customer's callers send.
func (ks *keys) of(customer string) string {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	return ks.sent[customer]
}

// customerOf returns the customer of a request by its id, or "" if it has none.
func customerOf(id string) string {
	if rest, ok := strings.CutPrefix(id, rivalPrefix); ok {
		customer, _, _ := strings.Cut(rest, "-")
		return customer
	}
	switch {
	case strings.HasPrefix(id, crowdPrefix):
		return crowdCustomer
	case strings.HasPrefix(id, meteredPrefix):
		return meteredCustomer
	}
	var caller, number int
	if _, err := fmt.Sscanf(id, "call-%d-%d", &caller, &number); err != nil {
		return firstCustomer // the trainer's requests, and those that crash endpoints
	}
	switch {
	case caller == unknownCaller:
		return ""
	case caller%2 == 0:
		return firstCustomer
	default:
		return secondCustomer
	}
}

// keyOf returns the key that a request sends.
func (rn *run) keyOf(id string) string {
	if customer := customerOf(id); customer != "" {
		return rn.world.keys.of(customer)
	}
	return unknownKey
}

// changeKeys rotates the keys of customers: it adds a new key, and removes the old one
// after the customer's callers send the new one.
func (rn *run) changeKeys(ctx context.Context, length time.Duration) {
	rng := newStream(rn.opts.Seed, keysStream)
	for end := time.Now().Add(length); !rn.opts.Quiet && time.Now().Before(end) && ctx.Err() == nil; {
		customer := []string{firstCustomer, secondCustomer}[rng.IntN(2)]
		rn.recordEvent("new key of " + customer)
		rn.world.keys.add(customer)
		_ = rn.world.configure(ctx) // ends with ctx
		sleep(ctx, applyTime)
		rn.world.keys.sendNewest(customer)
		sleep(ctx, callTime)
		rn.recordEvent("old key removed from " + customer)
		rn.world.keys.removeOld(customer)
		_ = rn.world.configure(ctx) // ends with ctx
	}
}

// faultUsageServer makes the usage server slow, lose responses and refuse reports.
func (rn *run) faultUsageServer(ctx context.Context, length time.Duration) {
	rng := newStream(rn.opts.Seed, usageStream)
	us := rn.world.usageServer
	for end := time.Now().Add(length); !rn.opts.Quiet && time.Now().Before(end) && ctx.Err() == nil; {
		how, name := &us.Slow, "slow"
		switch rng.IntN(3) {
		case 0:
			how, name = &us.Lose, "loses answers"
		case 1:
			how, name = &us.Refuse, "refuses"
		}
		rn.recordEvent("usage server " + name)
		how.Store(true)
		sleep(ctx, time.Duration(1000+rng.IntN(4000))*time.Millisecond)
		how.Store(false)
		sleep(ctx, time.Duration(rng.IntN(2000))*time.Millisecond)
	}
}

// checkCustomers checks for which customer endpoints ran requests, and the usage reports.
func (rn *run) checkCustomers() {
	for _, no := range rn.plainRuns() {
		rn.checkIdentity(no.ID, no.Identity)
	}
	for _, en := range rn.world.engines {
		for _, no := range en.Runs() {
			rn.checkIdentity(no.ID, no.Identity)
		}
	}
	for _, broken := range rn.world.usageServer.Violations() {
		rn.addViolation("reports of use, or orders: %s", broken)
	}
	rn.report.Orders = len(rn.world.usageServer.Orders())
	if rn.opts.Quiet && !rn.opts.Crashes {
		rn.checkUsage()
	}
}

func (rn *run) checkIdentity(id string, who standin.Identity) {
	if who.Key != "" {
		rn.addViolation("an endpoint got the key of %s", id)
	}
	if want := customerOf(id); who.Customer != want || want == "" {
		rn.addViolation("an endpoint ran %s for %q, not %q", id, who.Customer, want)
	}
}

// usageTolerance is the relative error that a usage report may have.
const usageTolerance = 0.05

// checkUsage compares usage reports with the runs at endpoints, by window and in total.
//
// A request counts in the window in which it is sent, but endpoints record its arrival. On
// a busy machine some requests sent before a window's end arrive later than boundaryMargin:
// one report has too many and the next too few, within the tolerance. So the total over all
// windows must agree as closely as a single window.
func (rn *run) checkUsage() {
	ran, ambiguous := rn.countsByWindow()
	sums, first, last := rn.checkUsageWindows(ran, ambiguous)
	for customer, su := range sums {
		off := ambiguous[first] + ambiguous[last] + uint64(usageTolerance*float64(su.last))
		if su.got > su.ran+off || su.got+off < su.ran {
			rn.addViolation("windows %d to %d of %s were reported as %d, and %d ran", first, last, customer, su.got, su.ran)
		}
	}
}

// checkUsageWindows compares each report whose window ended at least usageReportTime ago with the
// runs. It returns the sums by customer, and the first and the last window compared.
func (rn *run) checkUsageWindows(ran map[int64]map[string]uint64, ambiguous map[int64]uint64) (sums map[string]*usageSum, first, last int64) {
	reports := rn.world.usageServer.Reports()
	sums = map[string]*usageSum{}
	for _, window := range slices.Sorted(maps.Keys(ran)) {
		if time.Since(time.Unix(0, (window+1)*int64(standin.UsageWindow))) < usageReportTime {
			continue
		}
		if last == 0 {
			first = window
		}
		last = window
		rn.mu.Lock()
		rn.report.Windows++
		rn.mu.Unlock()
		for customer, count := range ran[window] {
			got := reports[window][customer]
			if sums[customer] == nil {
				sums[customer] = &usageSum{}
			}
			sums[customer].add(got, count)
			if off := ambiguous[window] + uint64(usageTolerance*float64(count)); got > count+off || got+off < count {
				rn.addViolation("window %d of %s was reported as %d, and %d ran", window, customer, got, count)
			}
		}
	}
	return sums, first, last
}

// boundaryMargin is the distance from a window's bounds within which a request may count in
// the adjacent window.
const boundaryMargin = 100 * time.Millisecond

// countsByWindow returns the number of requests that endpoints ran by window and customer,
// and by window the number that may count in the adjacent window. Reward calls are left out.
func (rn *run) countsByWindow() (ran map[int64]map[string]uint64, ambiguous map[int64]uint64) {
	ran, ambiguous = map[int64]map[string]uint64{}, map[int64]uint64{}
	for _, no := range rn.plainRuns() {
		if strings.HasPrefix(no.ID, rewardPrefix) {
			continue
		}
		window := no.At.UnixNano() / int64(standin.UsageWindow)
		if ran[window] == nil {
			ran[window] = map[string]uint64{}
		}
		ran[window][no.Identity.Customer]++
		for _, near := range []time.Duration{-boundaryMargin, boundaryMargin} {
			if other := no.At.Add(near).UnixNano() / int64(standin.UsageWindow); other != window {
				ambiguous[window]++
				ambiguous[other]++
			}
		}
	}
	return ran, ambiguous
}

// A usageSum is the reported and the actual number of requests of a customer.
type usageSum struct {
	got, ran uint64
	last     uint64 // ran in the last window
}

func (su *usageSum) add(got, ran uint64) {
	su.got += got
	su.ran += ran
	su.last = ran
}

// deniedStatus reports whether a status rejects a request's key.
func deniedStatus(status int) bool { return status == http.StatusUnauthorized }
