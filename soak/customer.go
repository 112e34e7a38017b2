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

// Customers of the soaked deployment. The trainer is of the first; callers are of both,
// and one of none.
const (
	firstCustomer  = "ada"
	secondCustomer = "bob"
	strangerKey    = "key-of-no-customer"
	stranger       = callers - 1 // the caller that shows it
)

const (
	// forceTime is how long a configuration may take to be in force at all entries that
	// hear of it.
	forceTime = 3500 * time.Millisecond
	// usageTime is how long after its end a window is reported at the latest.
	usageTime = 6 * time.Second
)

// keys are the customers' keys, of which new ones come and old ones go.
type keys struct {
	held    map[string][]string // by customer; the last one comes
	mu      sync.Mutex
	number  int
	quota   float64           // of the customer with one
	shown   map[string]string // that callers show
	version int64
}

func newKeys() *keys {
	ks := &keys{held: map[string][]string{}, quota: firstQuota, shown: map[string]string{}, version: 1}
	for _, customer := range []string{firstCustomer, secondCustomer, crowdCustomer, meteredCustomer} {
		ks.add(customer)
		ks.show(customer)
	}
	return ks
}

// add gives a customer one more key.
func (ks *keys) add(customer string) {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	ks.number++
	ks.held[customer] = append(ks.held[customer], fmt.Sprintf("key-%d-of-%s", ks.number, customer))
	ks.version++
}

// show makes callers show a customer's newest key.
func (ks *keys) show(customer string) {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	ks.shown[customer] = ks.held[customer][len(ks.held[customer])-1]
}

// drop takes all keys of a customer but the newest.
func (ks *keys) drop(customer string) {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	ks.held[customer] = ks.held[customer][len(ks.held[customer])-1:]
	ks.version++
}

// setQuota changes the quota.
func (ks *keys) setQuota(quota float64) {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	ks.quota = quota
	ks.version++
}

// snapshot returns what customers hold, their quotas and the configuration's version.
func (ks *keys) snapshot() (held map[string][]string, quotas map[string]float64, version int64) {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	held = map[string][]string{}
	for customer, all := range ks.held {
		held[customer] = slices.Clone(all)
	}
	return held, map[string]float64{meteredCustomer: ks.quota}, ks.version
}

// of returns the key that a customer's callers show.
func (ks *keys) of(customer string) string {
	ks.mu.Lock()
	defer ks.mu.Unlock()
	return ks.shown[customer]
}

// customerOf returns the customer of a request by its id, or "" of a stranger's.
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
		return firstCustomer // the trainer's, and the crashing request
	}
	switch {
	case caller == stranger:
		return ""
	case caller%2 == 0:
		return firstCustomer
	default:
		return secondCustomer
	}
}

// keyOf returns the key that a request shows.
func (rn *run) keyOf(id string) string {
	if customer := customerOf(id); customer != "" {
		return rn.world.keys.of(customer)
	}
	return strangerKey
}

// changeKeys gives one customer after the other a new key, and takes the old one once
// its callers show the new one.
func (rn *run) changeKeys(ctx context.Context, length time.Duration) {
	rng := newStream(rn.opts.Seed, keysStream)
	for end := time.Now().Add(length); !rn.opts.Quiet && time.Now().Before(end) && ctx.Err() == nil; {
		customer := []string{firstCustomer, secondCustomer}[rng.IntN(2)]
		rn.note("new key of " + customer)
		rn.world.keys.add(customer)
		_ = rn.world.configure(ctx) // ends with ctx
		sleep(ctx, forceTime)
		rn.world.keys.show(customer)
		sleep(ctx, callTime)
		rn.note("old key taken from " + customer)
		rn.world.keys.drop(customer)
		_ = rn.world.configure(ctx) // likewise
	}
}

// troubleAuthority makes who takes the reports of use slow, lose answers and refuse.
func (rn *run) troubleAuthority(ctx context.Context, length time.Duration) {
	rng := newStream(rn.opts.Seed, authorityStream)
	au := rn.world.authority
	for end := time.Now().Add(length); !rn.opts.Quiet && time.Now().Before(end) && ctx.Err() == nil; {
		how, name := &au.Slow, "slow"
		switch rng.IntN(3) {
		case 0:
			how, name = &au.Lose, "loses answers"
		case 1:
			how, name = &au.Refuse, "refuses"
		}
		rn.note("who takes reports " + name)
		how.Store(true)
		sleep(ctx, time.Duration(1000+rng.IntN(4000))*time.Millisecond)
		how.Store(false)
		sleep(ctx, time.Duration(rng.IntN(2000))*time.Millisecond)
	}
}

// judgeCustomers checks for whom endpoints ran what, and the reports of use.
func (rn *run) judgeCustomers() {
	for _, no := range rn.deskNotes() {
		rn.judgeIdentity(no.ID, no.Identity)
	}
	for _, en := range rn.world.engines {
		for _, no := range en.Notes() {
			rn.judgeIdentity(no.ID, no.Identity)
		}
	}
	for _, broken := range rn.world.authority.Violations() {
		rn.violate("reports of use, or orders: %s", broken)
	}
	rn.report.Orders = len(rn.world.authority.Orders())
	if rn.opts.Quiet && !rn.opts.Crashes {
		rn.judgeCounts()
	}
}

func (rn *run) judgeIdentity(id string, who standin.Identity) {
	if who.Key != "" {
		rn.violate("an endpoint got the key of %s", id)
	}
	if want := customerOf(id); who.Customer != want || want == "" {
		rn.violate("an endpoint ran %s for %q, not %q", id, who.Customer, want)
	}
}

// usageOff is the part of the truth by which a report of use may be off.
const usageOff = 0.05

// judgeCounts compares reports with what endpoints ran, window by window and in all.
//
// A request counts in the window in which it is sent, and endpoints note when it came. On
// a busy machine some of those sent before a window's end come later than nearBound: they
// stand in one report too many and are missing in the next, by no more than reports may be
// off. So all windows together must agree as closely as one.
func (rn *run) judgeCounts() {
	ran, unsure := rn.countsByWindow()
	sums, first, last := rn.judgeWindows(ran, unsure)
	for customer, su := range sums {
		off := unsure[first] + unsure[last] + uint64(usageOff*float64(su.last))
		if su.got > su.ran+off || su.got+off < su.ran {
			rn.violate("windows %d to %d of %s were reported as %d, and %d ran", first, last, customer, su.got, su.ran)
		}
	}
}

// judgeWindows compares each report with what ran, as far as its window ended long enough
// ago. It returns the sums by customer, and the first and the last window compared.
func (rn *run) judgeWindows(ran map[int64]map[string]uint64, unsure map[int64]uint64) (sums map[string]*usageSum, first, last int64) {
	reports := rn.world.authority.Reports()
	sums = map[string]*usageSum{}
	for _, window := range slices.Sorted(maps.Keys(ran)) {
		if time.Since(time.Unix(0, (window+1)*int64(standin.UsageWindow))) < usageTime {
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
			if off := unsure[window] + uint64(usageOff*float64(count)); got > count+off || got+off < count {
				rn.violate("window %d of %s was reported as %d, and %d ran", window, customer, got, count)
			}
		}
	}
	return sums, first, last
}

// nearBound is how near to a window's bounds a request may count in its neighbour.
const nearBound = 100 * time.Millisecond

// countsByWindow returns what endpoints ran of each customer by window, and how many
// requests came to them so near to a window's bounds that they may count in its neighbour.
// Calls for scores are no caller's, and are left out.
func (rn *run) countsByWindow() (ran map[int64]map[string]uint64, unsure map[int64]uint64) {
	ran, unsure = map[int64]map[string]uint64{}, map[int64]uint64{}
	for _, no := range rn.deskNotes() {
		if strings.HasPrefix(no.ID, rewardPrefix) {
			continue
		}
		window := no.At.UnixNano() / int64(standin.UsageWindow)
		if ran[window] == nil {
			ran[window] = map[string]uint64{}
		}
		ran[window][no.Identity.Customer]++
		for _, near := range []time.Duration{-nearBound, nearBound} {
			if other := no.At.Add(near).UnixNano() / int64(standin.UsageWindow); other != window {
				unsure[window]++
				unsure[other]++
			}
		}
	}
	return ran, unsure
}

// A usageSum is what was reported of a customer, and what ran.
type usageSum struct {
	got, ran uint64
	last     uint64 // ran in the last window
}

func (su *usageSum) add(got, ran uint64) {
	su.got += got
	su.ran += ran
	su.last = ran
}

// deniedStatus reports whether a status denies a request for its key.
func deniedStatus(status int) bool { return status == http.StatusUnauthorized }
