package step

import (
	"maps"
	"slices"
	"time"

	"wisteriacroft/fairshare"
)

// Bounds of logging ranks.
const (
	// logRanksEvery is how often ranks that have changed are logged.
	logRanksEvery = time.Second
	// maxRankLines bounds the customers that are logged at once; the changes of
	// others are not logged later either.
	maxRankLines = 20
)

// mostElapsed bounds the time that one round of counting counts. A process that was
// suspended for longer doesn't know what ran meanwhile.
const mostElapsed = time.Second

// A fairShare is what the table knows of customers' parts.
type fairShare struct {
	account   fairshare.Account
	countedAt time.Time
	live      map[string]float64 // by customer, parts of plain services' places that live requests have
	logged    map[string]int     // ranks
	loggedAt  time.Time
	recent    fairshare.RecentUsage // places that customers had
	saved     []byte                // the account as last kept in the key-value service
	savedAt   time.Time
	scarce    map[string]bool // services whose places are scarce while items wait
}

// ChargeUsage counts what customers have of the engines.
//
// Load pattern: one customer's trainers ask for many times its part. Placed by time to spare
// alone, its items would take nearly all places, and the others' steps would be late as
// often as its own. The places that customers have at one moment don't tell who had most:
// steps come in bursts, and one of few long items has few places for a long time.
func (ta *Table) ChargeUsage(now time.Time) {
	fs := &ta.share
	elapsed := time.Duration(0)
	if !fs.countedAt.IsZero() {
		elapsed = min(now.Sub(fs.countedAt), mostElapsed)
	}
	fs.countedAt = now
	counts := ta.counts(now)
	fs.account.Advance(ta.uses(counts), elapsed)
	fs.recent.Add(heldPlaces(counts), elapsed, now)
	if now.Sub(fs.loggedAt) >= logRanksEvery {
		fs.loggedAt = now
		ta.logRanks()
	}
}

// logRanks logs the customers whose rank is another one than it was.
func (ta *Table) logRanks() {
	fs := &ta.share
	sts := fs.account.Balances()
	before := fs.logged
	fs.logged = map[string]int{}
	lines := 0
	for _, customer := range slices.Sorted(maps.Keys(sts)) {
		st := sts[customer]
		fs.logged[customer] = st.Rank
		if st.Rank == before[customer] || lines >= maxRankLines {
			continue
		}
		lines++
		ta.log("customer ranked", map[string]any{
			"ahead-s": st.Ahead, "before": before[customer], customerField: customer, "memory": st.Use.Memory,
			"places": st.Use.Places, "rank": st.Rank, "waits": st.Use.Waits, "wants": st.Use.Wants,
		})
	}
}

// Shares returns how customers stand.
func (ta *Table) Shares() map[string]fairshare.Balance { return ta.share.account.Balances() }

// Parts returns which part of the engines' places that were taken within
// fairshare.RecentTime each customer had.
func (ta *Table) Parts(now time.Time) map[string]float64 { return ta.share.recent.Parts(now) }

// SetWeights sets the customers' weights; without one a customer has 1.
func (ta *Table) SetWeights(weights map[string]float64) { ta.share.account.SetWeights(weights) }

// SetLive sets which parts customers' live requests have of the places of plain services
// that are short of them.
func (ta *Table) SetLive(parts map[string]float64) { ta.share.live = parts }

// A useKey is a customer's work at a service.
type useKey struct{ customer, service string }

// A useCount counts a customer's items at a service.
type useCount struct {
	held   int  // that run
	ready  bool // one of those that wait may run
	tokens int  // that those that run hold
	waits  int
}

// scarcePart is the part of a service's places that must be taken for them to be scarce.
// Below it items wait for weights rather than for places.
const scarcePart = 0.75

// uses returns what customers have and want of services for which items wait. What they
// have counts only where places are scarce.
func (ta *Table) uses(counts map[useKey]useCount) map[string]fairshare.Usage {
	waits, held := map[string]bool{}, map[string]int{} // by service
	for key, co := range counts {
		waits[key.service] = waits[key.service] || co.ready
		held[key.service] += co.held
	}
	uses := map[string]fairshare.Usage{}
	ta.share.scarce = map[string]bool{}
	for service, some := range waits {
		if !some {
			continue
		}
		places, tokens := ta.capacity(service)
		scarce := ratio(held[service], places) >= scarcePart
		ta.share.scarce[service] = scarce
		addUses(uses, service, counts, places, tokens, scarce)
	}
	for customer, part := range ta.share.live {
		if us, ok := uses[customer]; ok {
			us.Places = max(us.Places, part)
			uses[customer] = us
		}
	}
	return uses
}

// counts tells customers' items of open steps by service.
func (ta *Table) counts(now time.Time) map[useKey]useCount {
	ta.gather()
	counts := map[useKey]useCount{}
	for _, sr := range ta.order {
		key := useKey{sr.step.Customer, sr.step.Service}
		co := counts[key]
		if _, held := ta.holds.Step(sr.step.ID, sr.step.Customer); held {
			ta.countHeld(&co, sr)
		} else {
			co.waits += sr.waits
		}
		co.ready = co.ready || sr.waits > 0 && ta.anyMayBegin(sr, now)
		eventTokens := sr.gauge.eventTokens()
		for _, gr := range sr.list {
			co.held += len(gr.wait.running)
			for _, ir := range gr.wait.running {
				co.tokens += ir.item.Prompt + len(ir.events)*eventTokens
			}
		}
		counts[key] = co
	}
	return counts
}

// heldPlaces returns how many places customers have.
func heldPlaces(counts map[useKey]useCount) map[string]int {
	places := map[string]int{}
	for key, co := range counts {
		places[key.customer] += co.held
	}
	return places
}

// countHeld counts the items of a step that wait though an operator holds it.
func (ta *Table) countHeld(co *useCount, sr *stepRow) {
	for _, gr := range sr.list {
		for _, ir := range gr.wait.waiting {
			if !ta.held(ir) {
				co.waits++
			}
		}
	}
}

// capacity returns how many places and how much memory a service's engines have.
func (ta *Table) capacity(service string) (places, tokens int) {
	for _, en := range ta.sorted {
		if en.service == service && !en.gone {
			places += en.slots
			tokens += en.tokens
		}
	}
	return places, tokens
}

// addUses adds what customers have of a service's engines, if they are scarce, and want.
func addUses(uses map[string]fairshare.Usage, service string, counts map[useKey]useCount, places, tokens int, scarce bool) {
	for key, co := range counts {
		if key.service != service || co.held+co.waits == 0 {
			continue
		}
		us := uses[key.customer]
		if scarce {
			us.Places = max(us.Places, ratio(co.held, places))
			us.Memory = max(us.Memory, ratio(co.tokens, tokens))
		}
		us.Waits = us.Waits || co.ready
		us.Wants = max(us.Wants, ratio(co.held+co.waits, places))
		uses[key.customer] = us
	}
}

// ratio returns which part of a whole a count is.
func ratio(count, whole int) float64 { return float64(count) / float64(max(whole, 1)) }

// customerRank returns the order in which customers get places while items wait: the
// lowest rank first, equal ranks together. A customer that it does not name has rank 0.
func (ta *Table) customerRank(customers map[string]bool) map[string]int {
	ranks := map[string]int{}
	if ta.anyShare {
		return ranks
	}
	for customer := range customers {
		ranks[customer] = ta.share.account.Rank(customer)
	}
	if len(ranks) < 2 {
		return nil
	}
	return ranks
}
