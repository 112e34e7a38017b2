package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// markAllDirty marks an attendant's state to be sent to all other entries. An urgent update is
// sent without waiting for retryInterval.
func (ta *Table) markAllDirty(attendant string, ur urgency) {
	for _, er := range ta.entries.values() {
		er.markDirty(attendant, ur)
		if ur == urgent {
			er.retryAt = time.Time{}
		}
	}
}

// markDirty marks an attendant's state to be sent to the entry, with at least this urgency.
func (er *entryRow) markDirty(attendant string, ur urgency) {
	was, _ := er.dirty.get(attendant)
	er.dirty.set(attendant, max(was, ur))
}

// exchange starts exchanges with entries that have urgent updates or were never contacted, and
// once in each interval with the next entry in turn, so that an update that was lost reaches
// an entry through another one.
func (ta *Table) exchange(now time.Time) {
	ta.refillTokens(now)
	for _, er := range ta.entries.values() {
		if !er.inFlight && !now.Before(er.retryAt) && (er.hasUrgent() || !er.contacted) {
			ta.startExchange(er, now)
		}
	}
	if now.Before(ta.nextExchange) {
		return
	}
	ta.nextExchange = now.Add(cmp.Or(ta.ExchangeInterval, DefaultExchangeInterval))
	if er := ta.nextEntry(); er != nil && !er.inFlight {
		ta.startExchange(er, now)
	}
}

// refillTokens refills the token bucket of bytes to send. It holds up to burstSeconds' worth,
// for bursts such as a start of all processes. Urgent updates may overdraw it by the same
// amount, so that they don't delay others for long.
func (ta *Table) refillTokens(now time.Time) {
	rate := float64(cmp.Or(ta.NewsRate, DefaultGossipRate))
	if ta.tokensAt.IsZero() {
		ta.tokens = burstSeconds * rate
	}
	ta.tokens += rate * now.Sub(ta.tokensAt).Seconds()
	ta.tokens = max(min(ta.tokens, burstSeconds*rate), -burstSeconds*rate)
	ta.tokensAt = now
}

// nextEntry returns the next entry in round-robin order, or nil if there is none.
func (ta *Table) nextEntry() *entryRow {
	ers := ta.entries.values()
	if len(ers) == 0 {
		return nil
	}
	next := ers[0]
	for _, er := range ers {
		if er.instance.ID > ta.lastEntry {
			next = er
			break
		}
	}
	ta.lastEntry = next.instance.ID
	return next
}

// hasUrgent reports whether urgent updates are to be sent to the entry.
func (er *entryRow) hasUrgent() bool {
	return slices.Contains(er.dirty.values(), urgent)
}

// pending reports whether updates other than of load are to be sent to the entry.
func (er *entryRow) pending() bool {
	return er.hasUrgent() || slices.Contains(er.dirty.values(), normal)
}

// reservedTokens returns the bytes that are reserved for updates other than of load.
func (ta *Table) reservedTokens() float64 {
	return burstSeconds / 2 * float64(cmp.Or(ta.NewsRate, DefaultGossipRate))
}

// startExchange queues an exchange with an entry, with the updates that the rate limit allows.
func (ta *Table) startExchange(er *entryRow, now time.Time) {
	sent := ta.takeUpdates(er)
	rq := ExchangeRequest{Digest: combine(ta.domainDigests()), Leaving: ta.leaving}
	for _, su := range sent {
		rq.News = append(rq.News, su.update)
	}
	er.inFlight = true
	ta.tokens -= messageSize
	address := er.instance.Address
	ta.sends = append(ta.sends, func() {
		ta.SendExchangeFunc(address, rq, func(re ExchangeResponse, err error) {
			ta.run(time.Now(), func(now time.Time) { ta.finishExchange(er, sent, re, err, now) })
		})
	})
	er.retryAt = now.Add(retryInterval)
}

// A sentUpdate is an attendant's state that was sent but not acknowledged yet.
type sentUpdate struct {
	update  StateUpdate
	urgency urgency
}

// takeUpdates removes the updates that are sent now from an entry's dirty set, the most urgent
// first, so that updates of load cannot use up the rate that others need.
func (ta *Table) takeUpdates(er *entryRow) []sentUpdate {
	var sent []sentUpdate
	for _, level := range []struct {
		urgency urgency
		tokens  float64
	}{{urgent, math.Inf(-1)}, {normal, 0}, {low, ta.reservedTokens()}} {
		for _, instance := range slices.Clone(er.dirty.keys) {
			ur, _ := er.dirty.get(instance)
			if ur != level.urgency || ta.tokens <= level.tokens {
				continue
			}
			er.dirty.remove(instance)
			if ro, ok := ta.rows.get(instance); ok {
				up := er.updateFor(ro)
				ta.tokens -= float64(up.size())
				sent = append(sent, sentUpdate{update: up, urgency: ur})
			}
		}
	}
	return sent
}

// updateFor returns an attendant's state, with its descriptor if the entry lacks it.
func (er *entryRow) updateFor(ro *row) StateUpdate {
	if !ro.hasDescriptor || ro.state.Doubt == Gone || er.descriptors[ro.state.Instance] == ro.state.Incarnation {
		return ro.state
	}
	er.descriptors[ro.state.Instance] = ro.state.Incarnation
	return ro.full()
}

// size returns the approximate size of the update in a message, in bytes.
func (up *StateUpdate) size() int {
	size := 20 + len(up.Instance) + 8*len(up.Endpoints)
	if up.Card != nil {
		size += len(up.Card.Address) + len(up.Card.FailureDomain)
		for _, ed := range up.Card.Endpoints {
			size += 4 + len(ed.ID) + len(ed.Service)
		}
	}
	return size
}

// finishExchange handles the result of an exchange. If there was no response, the updates are
// marked to be sent again.
func (ta *Table) finishExchange(er *entryRow, sent []sentUpdate, re ExchangeResponse, err error, now time.Time) {
	er.inFlight = false
	if err != nil {
		for _, su := range sent {
			er.markDirty(su.update.Instance, su.urgency)
			delete(er.descriptors, su.update.Instance)
		}
		return
	}
	ta.recordContact(er, re.Leaving, now)
	er.contacted = true
	for _, instance := range re.Missing {
		delete(er.descriptors, instance)
		er.markDirty(instance, urgent)
	}
	if re.LeavingDiffer {
		ta.sync(er, SyncRequest{Known: ta.knownStates((*row).leaving), Leaving: true})
	}
	if re.Domains != nil && !er.pending() && ta.tokens > ta.reservedTokens() {
		ta.repair(er, re.Domains)
	}
}

// repair syncs the first failure domain that differs with an entry. The others follow at later
// exchanges, as a sync uses much of the rate.
func (ta *Table) repair(er *entryRow, theirs []DomainDigest) {
	names := differences(ta.domainDigests(), theirs)
	if len(names) == 0 {
		return
	}
	include := func(ro *row) bool { return ro.descriptor.FailureDomain == names[0] }
	ta.sync(er, SyncRequest{Domains: names[:1], Known: ta.knownStates(include)})
}

// sync queues a request for the states of attendants that differ at an entry.
func (ta *Table) sync(er *entryRow, rq SyncRequest) {
	ta.tokens -= float64(messageSize + knownSize*len(rq.Known))
	address := er.instance.Address
	ta.sends = append(ta.sends, func() {
		ta.SendSyncFunc(address, rq, func(re SyncResponse, err error) {
			ta.run(time.Now(), func(now time.Time) { ta.finishSync(er, re, err, now) })
		})
	})
}

// knownStates returns summaries of the attendants for which include returns true.
func (ta *Table) knownStates(include func(ro *row) bool) []KnownState {
	var kns []KnownState
	for _, ro := range ta.rows.values() {
		if ro.state.Doubt != Gone && include(ro) {
			kns = append(kns, KnownState{
				Doubt:       ro.state.Doubt,
				Incarnation: ro.state.Incarnation,
				Instance:    ro.state.Instance,
				Leaving:     ro.state.Leaving,
				Sequence:    ro.state.Sequence,
			})
		}
	}
	return kns
}

// leaving reports whether the row's attendant accepts no new work.
func (ro *row) leaving() bool { return ro.state.Leaving }

// finishSync merges the response to a sync. Attendants found to be leaving are propagated to
// all entries, as the entry that first knew may have died.
func (ta *Table) finishSync(er *entryRow, re SyncResponse, err error, now time.Time) {
	if err != nil {
		return
	}
	for _, up := range re.News {
		if _, left := ta.merge(up, er.instance.ID, now); left {
			ta.markAllDirty(up.Instance, urgent)
		}
	}
	for _, instance := range re.Wanted {
		er.markDirty(instance, urgent)
		delete(er.descriptors, instance)
	}
}
