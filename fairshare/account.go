// Package fairshare decides how customers share what is scarce: what each has had in
// virtual time, and how many places each may have now. It talks to nothing and reads no
// clock.
package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Bounds of an account. They are in seconds of a customer's part: what it has in a second in
// which it has just what is due to it.
const (
	// quantum is the distance, in seconds of its part, that gives a customer another rank.
	// Closer ones rank the same, so that what is due first decides.
	quantum = 0.5
	// margin is the hysteresis of ranks: how much further a customer must fall back to get
	// a better rank again. Otherwise the order would change with each item that ends.
	margin = 0.25
	// foresight is for how many seconds what a customer has and asks for is counted
	// in advance: what is placed stays for about as long. Counted only while it runs, all
	// that a customer asks for could be placed before its rank changes.
	foresight = 1.0
	// mostClaim bounds, in seconds of its part, what a customer can claim before
	// others. Otherwise work that could run nowhere for a while would keep all others
	// waiting for as long once it can run.
	mostClaim = 10.0
	// maxRows bounds how many customers are remembered.
	maxRows = 1000
)

// A Usage is what a customer has at a moment, each as a part of the whole.
type Usage struct {
	Memory float64 // of the engines
	Places float64
	Waits  bool    // more of its work waits
	Wants  float64 // places that it has and waits for; may be more than the whole
}

// dominant returns the part of what the customer has the most of: work that fills
// memory takes as much from others as work that fills places.
func (us Usage) dominant() float64 { return max(us.Memory, us.Places) }

// foreseen returns the part that the customer is about to have if it gets what it asks
// for.
func (us Usage) foreseen() float64 { return max(us.dominant(), min(us.Wants, 1)) }

// A row is what an account knows of a customer.
type row struct {
	key    float64 // served, and what is foreseen
	level  int     // quanta ahead of the one that is furthest behind of those that wait
	rated  bool    // it has a level
	served float64 // in virtual time: parts of the whole times seconds, by weight
	use    Usage
}

// An Account keeps what customers have had, by start-time fair queueing. The zero
// Account is empty and ready to use.
//
// Virtual time is what the customer has had that is furthest behind among those that
// wait. A customer that comes, or comes back, begins there: it has no claim to what it did
// not use. One that is ahead stays so until the others have caught up.
type Account struct {
	rows    map[string]*row
	virtual float64
	weights map[string]float64
}

// SetWeights sets the customers' weights. A customer without one has 1.
func (ac *Account) SetWeights(weights map[string]float64) { ac.weights = weights }

// Weight returns a customer's weight.
func (ac *Account) Weight(customer string) float64 { return weightOf(ac.weights, customer) }

// weightOf returns a customer's weight, which is 1 unless it has a positive one.
func weightOf(weights map[string]float64, customer string) float64 {
	if weight := weights[customer]; weight > 0 {
		return weight
	}
	return 1
}

// Advance counts what customers have for a time. Uses holds all that have something or
// wait.
//
// While no one waits, or no one has anything that is scarce, nothing is counted, and leads
// shrink with time.
func (ac *Account) Advance(uses map[string]Usage, elapsed time.Duration) {
	if ac.rows == nil {
		ac.rows = map[string]*row{}
	}
	ac.join(uses)
	scarce := isScarce(uses)
	total := ac.total(uses)
	for _, ro := range ac.rows {
		ro.use = Usage{}
	}
	for customer, us := range uses {
		ro := ac.rows[customer]
		ro.use = us
		if scarce {
			ro.served += us.dominant() * elapsed.Seconds() / ac.Weight(customer)
		}
	}
	switch {
	case scarce:
		ac.bound(uses, total)
		ac.virtual = max(ac.virtual, ac.least(uses))
	case len(ac.rows) > 0:
		ac.virtual += elapsed.Seconds() / max(total, 1)
	}
	ac.prune(uses)
	ac.rate(total)
}

// isScarce reports whether some customer waits while some has something, so that what they
// have is to be counted.
func isScarce(uses map[string]Usage) bool {
	waits, has := false, false
	for _, us := range uses {
		waits = waits || us.Waits
		has = has || us.dominant() > 0
	}
	return waits && has
}

// join lets customers begin at the virtual time.
func (ac *Account) join(uses map[string]Usage) {
	for customer := range uses {
		ro := ac.rows[customer]
		if ro == nil {
			ro = &row{}
			ac.rows[customer] = ro
		}
		ro.served = max(ro.served, ac.virtual)
	}
}

// total returns the weight of all customers that have something or wait.
func (ac *Account) total(uses map[string]Usage) float64 {
	total := 0.0
	for customer := range uses {
		total += ac.Weight(customer)
	}
	return total
}

// bound lets no one be further behind than mostClaim.
func (ac *Account) bound(uses map[string]Usage, total float64) {
	most := math.Inf(-1)
	for customer := range uses {
		most = max(most, ac.rows[customer].served)
	}
	for customer := range uses {
		ro := ac.rows[customer]
		ro.served = max(ro.served, most-mostClaim/total)
	}
}

// least returns what the customer has had that is furthest behind among those that
// wait.
func (ac *Account) least(uses map[string]Usage) float64 {
	least := math.Inf(1)
	for customer, us := range uses {
		if us.Waits {
			least = min(least, ac.rows[customer].served)
		}
	}
	return least
}

// prune drops customers that have and want nothing and would begin at the virtual time,
// and beyond maxRows those that are the least ahead.
func (ac *Account) prune(uses map[string]Usage) {
	maps.DeleteFunc(ac.rows, func(customer string, ro *row) bool {
		_, present := uses[customer]
		return !present && ro.served <= ac.virtual
	})
	for _, customer := range ac.byServed() {
		if len(ac.rows) <= maxRows {
			return
		}
		if _, present := uses[customer]; !present {
			delete(ac.rows, customer)
		}
	}
}

// byServed returns the customers, the one that is furthest behind first.
func (ac *Account) byServed() []string {
	return slices.SortedFunc(maps.Keys(ac.rows), func(a, b string) int {
		return cmp.Or(cmp.Compare(ac.rows[a].served, ac.rows[b].served), cmp.Compare(a, b))
	})
}

// rate gives each customer its level.
func (ac *Account) rate(total float64) {
	least := math.Inf(1)
	for customer, ro := range ac.rows {
		ro.key = ro.served + ro.use.foreseen()*foresight/ac.Weight(customer)
		if ro.use.Waits {
			least = min(least, ro.key)
		}
	}
	for _, ro := range ac.rows {
		if ro.use == (Usage{}) || math.IsInf(least, 1) {
			ro.rated = false
			continue
		}
		ro.relevel(max(ro.key-least, 0) * total)
	}
}

// relevel moves a customer to the level of a distance, in seconds of its part. It
// leaves its level for a lower one only beyond the margin.
func (ro *row) relevel(distance float64) {
	if !ro.rated || distance >= float64(ro.level+1)*quantum {
		ro.level, ro.rated = int(distance/quantum), true
		return
	}
	if distance < float64(ro.level)*quantum-margin {
		ro.level = int((distance + margin) / quantum)
	}
}

// Rank returns the order in which customers go, the lowest first: how many quanta one is
// ahead of the one that is furthest behind among those that wait.
func (ac *Account) Rank(customer string) int {
	if ro := ac.rows[customer]; ro != nil && ro.rated {
		return ro.level
	}
	return 0
}

// Balance is how far a customer is ahead.
type Balance struct {
	Ahead float64 // seconds of its part that it has had before the others
	Use   Usage
	Rank  int
}

// Balances returns how all customers stand that have something, wait or are ahead.
func (ac *Account) Balances() map[string]Balance {
	out := make(map[string]Balance, len(ac.rows))
	total := ac.present()
	for customer, ro := range ac.rows {
		out[customer] = Balance{Ahead: (ro.served - ac.virtual) * total, Rank: ac.Rank(customer), Use: ro.use}
	}
	return out
}

// present returns the weight of all that have something or wait, or 1 if none does.
func (ac *Account) present() float64 {
	total := 0.0
	for customer, ro := range ac.rows {
		if ro.use != (Usage{}) {
			total += ac.Weight(customer)
		}
	}
	if total == 0 {
		return 1
	}
	return total
}

// Spread returns how many customers wait, and by how many seconds of its part one is
// ahead at most.
func (ac *Account) Spread() (count int, most float64) {
	total := ac.present()
	for _, ro := range ac.rows {
		if ro.use.Waits {
			count++
		}
		most = max(most, (ro.served-ac.virtual)*total)
	}
	return count, most
}
