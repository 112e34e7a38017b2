// Package fairshare divides scarce capacity among customers: it accounts for past usage in
// virtual time, and limits the slots that each may use now. It does no I/O and reads no clock.
package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters of an account. Their unit is a second of a customer's share: its usage in a second
// in which it uses exactly its share.
const (
	// quantum is the lead, in seconds of its share, per rank of a customer. Customers with a
	// smaller difference rank equally.
	quantum = 0.5
	// margin is how much further a customer must fall back to get a better rank again. Without this
	// hysteresis the order would change with each item that ends.
	margin = 0.25
	// chargeAhead is the number of seconds of current and wanted usage that is charged in
	// advance. Otherwise all waiting work of a customer could be placed before its rank
	// changes.
	chargeAhead = 1.0
	// maxLag limits, in seconds of its share, how far a customer can fall behind. Otherwise
	// work that couldn't run for a while would later block all others for as long.
	maxLag = 10.0
	// maxCustomers limits the number of customers in an account.
	maxCustomers = 1000
)

// A Usage is the current usage of a customer, in fractions of the total.
type Usage struct {
	Memory float64 // of the engines
	Places float64 // slots in use
	Waits  bool    // the customer has waiting work
	Wants  float64 // slots in use and waited for; may exceed 1
}

// dominant returns the dominant share: the larger fraction of memory and slots.
func (us Usage) dominant() float64 { return max(us.Memory, us.Places) }

// projected returns the dominant share if the customer gets all that it wants.
func (us Usage) projected() float64 { return max(us.dominant(), min(us.Wants, 1)) }

// A row is the account of one customer.
type row struct {
	projectedServed float64 // served plus usage charged in advance
	level           int     // quanta ahead of the waiting customer that is furthest behind
	hasLevel        bool    // level is set
	served          float64 // virtual time: fraction of the total times seconds, divided by weight
	use             Usage
}

// An Account tracks the usage of customers by start-time fair queueing. The zero value is ready
// to use. It is not safe for concurrent use.
//
// Virtual time is the usage of the waiting customer that is furthest behind. A customer that
// joins or returns starts there, without a claim to unused time. One that is ahead stays so
// until the others have caught up.
type Account struct {
	rows    map[string]*row
	virtual float64
	weights map[string]float64
}

// SetWeights sets the customers' weights. The default weight is 1.
func (ac *Account) SetWeights(weights map[string]float64) { ac.weights = weights }

// Weight returns a customer's weight, or the default.
func (ac *Account) Weight(customer string) float64 { return weightOf(ac.weights, customer) }

// weightOf returns a customer's weight, or 1 if it has no positive one.
func weightOf(weights map[string]float64, customer string) float64 {
	if weight := weights[customer]; weight > 0 {
		return weight
	}
	return 1
}

// Advance charges customers for their usage during the elapsed time. Uses must hold all
// customers with usage or waiting work.
//
// While nothing is scarce, usage isn't charged, and leads shrink with time.
func (ac *Account) Advance(uses map[string]Usage, elapsed time.Duration) {
	if ac.rows == nil {
		ac.rows = map[string]*row{}
	}
	ac.addCustomers(uses)
	scarce := isScarce(uses)
	total := ac.totalWeight(uses)
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
		ac.limitLag(uses, total)
		ac.virtual = max(ac.virtual, ac.minServed(uses))
	case len(ac.rows) > 0:
		ac.virtual += elapsed.Seconds() / max(total, 1)
	}
	ac.prune(uses)
	ac.updateLevels(total)
}

// isScarce reports whether some customer waits while some has usage.
func isScarce(uses map[string]Usage) bool {
	waits, has := false, false
	for _, us := range uses {
		waits = waits || us.Waits
		has = has || us.dominant() > 0
	}
	return waits && has
}

// addCustomers adds new customers, and moves those that are behind to the virtual time.
func (ac *Account) addCustomers(uses map[string]Usage) {
	for customer := range uses {
		ro := ac.rows[customer]
		if ro == nil {
			ro = &row{}
			ac.rows[customer] = ro
		}
		ro.served = max(ro.served, ac.virtual)
	}
}

// totalWeight returns the total weight of the given customers.
func (ac *Account) totalWeight(uses map[string]Usage) float64 {
	total := 0.0
	for customer := range uses {
		total += ac.Weight(customer)
	}
	return total
}

// limitLag limits how far customers are behind to maxLag.
func (ac *Account) limitLag(uses map[string]Usage, total float64) {
	most := math.Inf(-1)
	for customer := range uses {
		most = max(most, ac.rows[customer].served)
	}
	for customer := range uses {
		ro := ac.rows[customer]
		ro.served = max(ro.served, most-maxLag/total)
	}
}

// minServed returns the usage of the waiting customer that is furthest behind.
func (ac *Account) minServed(uses map[string]Usage) float64 {
	least := math.Inf(1)
	for customer, us := range uses {
		if us.Waits {
			least = min(least, ac.rows[customer].served)
		}
	}
	return least
}

// prune drops customers without usage that aren't ahead and, beyond maxCustomers, those that are
// the least ahead.
func (ac *Account) prune(uses map[string]Usage) {
	maps.DeleteFunc(ac.rows, func(customer string, ro *row) bool {
		_, present := uses[customer]
		return !present && ro.served <= ac.virtual
	})
	for _, customer := range ac.byServed() {
		if len(ac.rows) <= maxCustomers {
			return
		}
		if _, present := uses[customer]; !present {
			delete(ac.rows, customer)
		}
	}
}

// byServed returns the customers by ascending usage.
func (ac *Account) byServed() []string {
	return slices.SortedFunc(maps.Keys(ac.rows), func(a, b string) int {
		return cmp.Or(cmp.Compare(ac.rows[a].served, ac.rows[b].served), cmp.Compare(a, b))
	})
}

// updateLevels updates the level of each customer.
func (ac *Account) updateLevels(total float64) {
	least := math.Inf(1)
	for customer, ro := range ac.rows {
		ro.projectedServed = ro.served + ro.use.projected()*chargeAhead/ac.Weight(customer)
		if ro.use.Waits {
			least = min(least, ro.projectedServed)
		}
	}
	for _, ro := range ac.rows {
		if ro.use == (Usage{}) || math.IsInf(least, 1) {
			ro.hasLevel = false
			continue
		}
		ro.updateLevel(max(ro.projectedServed-least, 0) * total)
	}
}

// updateLevel sets the level for a distance in seconds of the customer's share, with hysteresis for
// lower levels.
func (ro *row) updateLevel(distance float64) {
	if !ro.hasLevel || distance >= float64(ro.level+1)*quantum {
		ro.level, ro.hasLevel = int(distance/quantum), true
		return
	}
	if distance < float64(ro.level)*quantum-margin {
		ro.level = int((distance + margin) / quantum)
	}
}

// Rank returns a customer's lead over the waiting customer that is furthest behind, in quanta.
// Customers with the lowest rank go first.
func (ac *Account) Rank(customer string) int {
	if ro := ac.rows[customer]; ro != nil && ro.hasLevel {
		return ro.level
	}
	return 0
}

// Balance is the position of a customer in an account.
type Balance struct {
	Ahead float64 // lead over virtual time, in seconds of its share
	Use   Usage
	Rank  int
}

// Balances returns the balances of all customers in the account.
func (ac *Account) Balances() map[string]Balance {
	out := make(map[string]Balance, len(ac.rows))
	total := ac.activeWeight()
	for customer, ro := range ac.rows {
		out[customer] = Balance{Ahead: (ro.served - ac.virtual) * total, Rank: ac.Rank(customer), Use: ro.use}
	}
	return out
}

// activeWeight returns the total weight of customers with usage or waiting work, or 1 if there are
// none.
func (ac *Account) activeWeight() float64 {
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

// Spread returns the number of waiting customers, and the largest lead in seconds of a share.
func (ac *Account) Spread() (count int, most float64) {
	total := ac.activeWeight()
	for _, ro := range ac.rows {
		if ro.use.Waits {
			count++
		}
		most = max(most, (ro.served-ac.virtual)*total)
	}
	return count, most
}
