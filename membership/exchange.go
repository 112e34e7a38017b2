package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// tellAll notes that each other entry has to be told of an attendant.
func (ta *Table) tellAll(attendant string, ur urgency) {
	for _, er := range ta.entries.values() {
		er.tell(attendant, ur)
		if ur == urgent {
			er.retry = time.Time{}
		}
	}
}

// tell notes that the entry has to be told of an attendant.
func (er *entryRow) tell(attendant string, ur urgency) {
	was, _ := er.dirty.get(attendant)
	er.dirty.set(attendant, max(was, ur))
}

// exchange sends urgent news at once, greets entries that are new to it, and
// talks to one other entry each interval, so that what one entry missed
// reaches it through any other.
func (ta *Table) exchange(now time.Time) {
	ta.earn(now)
	for _, er := range ta.entries.values() {
		if !er.busy && !now.Before(er.retry) && (er.hasUrgent() || !er.greeted) {
			ta.talk(er, now)
		}
	}
	if now.Before(ta.nextTurn) {
		return
	}
	ta.nextTurn = now.Add(cmp.Or(ta.ExchangeInterval, DefaultExchangeInterval))
	if er := ta.next(); er != nil && !er.busy {
		ta.talk(er, now)
	}
}

// earn adds to the bytes that may be sent. Some seconds' worth can gather, so
// that a start of everything spreads soon; and no more can be owed, so that
// urgent news don't hold up the others for long.
func (ta *Table) earn(now time.Time) {
	rate := float64(cmp.Or(ta.NewsRate, DefaultGossipRate))
	if ta.tokensAt.IsZero() {
		ta.tokens = burst * rate
	}
	ta.tokens += rate * now.Sub(ta.tokensAt).Seconds()
	ta.tokens = max(min(ta.tokens, burst*rate), -burst*rate)
	ta.tokensAt = now
}

// next returns the entry whose turn it is, or nil if there is none.
func (ta *Table) next() *entryRow {
	ers := ta.entries.values()
	if len(ers) == 0 {
		return nil
	}
	next := ers[0]
	for _, er := range ers {
		if er.instance.ID > ta.turn {
			next = er
			break
		}
	}
	ta.turn = next.instance.ID
	return next
}

// hasUrgent reports whether urgent news wait to be told to the entry.
func (er *entryRow) hasUrgent() bool {
	return slices.Contains(er.dirty.values(), urgent)
}

// pending reports whether changes wait to be told to the entry.
func (er *entryRow) pending() bool {
	return er.hasUrgent() || slices.Contains(er.dirty.values(), waits)
}

// spare returns how many bytes are kept back for changes.
func (ta *Table) spare() float64 {
	return burst / 2 * float64(cmp.Or(ta.NewsRate, DefaultGossipRate))
}

// talk sends an entry the news that it lacks, as far as the rate allows.
func (ta *Table) talk(er *entryRow, now time.Time) {
	sent := ta.pick(er)
	rq := ExchangeRequest{Digest: total(ta.domains()), Leaving: ta.leaving}
	for _, to := range sent {
		rq.News = append(rq.News, to.news)
	}
	er.busy = true
	ta.tokens -= messageSize
	address := er.instance.Address
	ta.sends = append(ta.sends, func() {
		ta.SendExchangeFunc(address, rq, func(an ExchangeResponse, err error) {
			ta.run(time.Now(), func(now time.Time) { ta.told(er, sent, an, err, now) })
		})
	})
	er.retry = now.Add(retryInterval)
}

// A telling is one attendant's news on its way to an entry.
type telling struct {
	news    StateUpdate
	urgency urgency
}

// pick takes out of an entry's list what is sent now: the most urgent first,
// so that loads cannot use up what changes need.
func (ta *Table) pick(er *entryRow) []telling {
	var sent []telling
	for _, level := range []struct {
		urgency urgency
		tokens  float64
	}{{urgent, math.Inf(-1)}, {waits, 0}, {rough, ta.spare()}} {
		for _, instance := range slices.Clone(er.dirty.keys) {
			ur, _ := er.dirty.get(instance)
			if ur != level.urgency || ta.tokens <= level.tokens {
				continue
			}
			er.dirty.remove(instance)
			if ro, ok := ta.rows.get(instance); ok {
				ne := er.newsOf(ro)
				ta.tokens -= float64(ne.size())
				sent = append(sent, telling{news: ne, urgency: ur})
			}
		}
	}
	return sent
}

// newsOf returns an attendant's news, with the card if the entry lacks it.
func (er *entryRow) newsOf(ro *row) StateUpdate {
	if !ro.carded || ro.news.Doubt == Gone || er.carded[ro.news.Instance] == ro.news.Incarnation {
		return ro.news
	}
	er.carded[ro.news.Instance] = ro.news.Incarnation
	return ro.full()
}

// size returns about how many bytes news take in a message.
func (ne *StateUpdate) size() int {
	size := 20 + len(ne.Instance) + 8*len(ne.Endpoints)
	if ne.Card != nil {
		size += len(ne.Card.Address) + len(ne.Card.FailureDomain)
		for _, ce := range ne.Card.Endpoints {
			size += 4 + len(ce.ID) + len(ce.Service)
		}
	}
	return size
}

// told takes the outcome of an exchange. News that may not have arrived are
// to be told again: only an answer says that they were taken.
func (ta *Table) told(er *entryRow, sent []telling, an ExchangeResponse, err error, now time.Time) {
	er.busy = false
	if err != nil {
		for _, to := range sent {
			er.tell(to.news.Instance, to.urgency)
			delete(er.carded, to.news.Instance)
		}
		return
	}
	ta.hear(er, an.Leaving, now)
	er.greeted = true
	for _, instance := range an.Missing {
		delete(er.carded, instance)
		er.tell(instance, urgent)
	}
	if an.LeavingDiffer {
		ta.sync(er, SyncRequest{Known: ta.known((*row).leaving), Leaving: true})
	}
	if an.Domains != nil && !er.pending() && ta.tokens > ta.spare() {
		ta.repair(er, an.Domains)
	}
}

// repair asks an entry about the first failure domain that differs. The rest
// waits for its turn, as a repair takes much of the rate.
func (ta *Table) repair(er *entryRow, theirs []DomainDigest) {
	names := differences(ta.domains(), theirs)
	if len(names) == 0 {
		return
	}
	in := func(ro *row) bool { return ro.card.FailureDomain == names[0] }
	ta.sync(er, SyncRequest{Domains: names[:1], Known: ta.known(in)})
}

// sync asks an entry for what it holds besides what the request names.
func (ta *Table) sync(er *entryRow, rq SyncRequest) {
	ta.tokens -= float64(messageSize + knownSize*len(rq.Known))
	address := er.instance.Address
	ta.sends = append(ta.sends, func() {
		ta.SendSyncFunc(address, rq, func(an SyncResponse, err error) {
			ta.run(time.Now(), func(now time.Time) { ta.synced(er, an, err, now) })
		})
	})
}

// known returns what the table holds of some attendants, in short.
func (ta *Table) known(in func(ro *row) bool) []KnownState {
	var kns []KnownState
	for _, ro := range ta.rows.values() {
		if ro.news.Doubt != Gone && in(ro) {
			kns = append(kns, KnownState{
				Doubt:       ro.news.Doubt,
				Incarnation: ro.news.Incarnation,
				Instance:    ro.news.Instance,
				Leaving:     ro.news.Leaving,
				Sequence:    ro.news.Sequence,
			})
		}
	}
	return kns
}

// leaving reports whether the row's attendant takes no new work.
func (ro *row) leaving() bool { return ro.news.Leaving }

// synced takes what another entry gave to repair this table. Whoever tells of
// a leaving attendant first may be dead by now, so what was learnt this way is
// told to all.
func (ta *Table) synced(er *entryRow, an SyncResponse, err error, now time.Time) {
	if err != nil {
		return
	}
	for _, ne := range an.News {
		if _, left := ta.merge(ne, er.instance.ID, now); left {
			ta.tellAll(ne.Instance, urgent)
		}
	}
	for _, instance := range an.Wanted {
		er.tell(instance, urgent)
		delete(er.carded, instance)
	}
}
