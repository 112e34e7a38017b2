package membership

import (
	"cmp"
	"slices"
	"time"

	"wisteriacroft/instancelist"
	"wisteriacroft/message"
)

// Report takes an attendant's report.
func (ta *Table) Report(_ message.Header, rq ReportRequest) ReportResponse {
	var an ReportResponse
	ta.run(time.Now(), func(now time.Time) { an = ta.report(rq, now) })
	return an
}

// report merges an attendant's own news and notes whom to tell how soon.
func (ta *Table) report(rq ReportRequest, now time.Time) ReportResponse {
	before, known := ta.rows.get(rq.News.Instance)
	var was StateUpdate
	var via string
	if known {
		was, via = before.news, before.via
	}
	ro, left := ta.merge(rq.News, "", now)
	switch {
	case left:
		ta.tellAll(rq.News.Instance, urgent)
	case !known || via != ro.via || differ(&was, &ro.news):
		ta.tellAll(rq.News.Instance, waits)
	case ta.loadChanged(ro):
		ta.tellAll(rq.News.Instance, rough)
	}
	return ReportResponse{EntryLeaving: ta.leaving, Leaving: ro.news.Leaving, WantCard: !ro.carded}
}

// differ reports whether more than loads and beats differ.
func differ(a, b *StateUpdate) bool {
	return a.Incarnation != b.Incarnation || a.Sequence != b.Sequence || a.Doubt != b.Doubt
}

// loadChanged reports whether the load differs enough from what other entries
// were last told, and notes it as told.
//
// Load changes with each request. Told exactly, it alone would take more than
// a node may spend on control; other entries need it only roughly, as the
// attendant's answers carry it too.
func (ta *Table) loadChanged(ro *row) bool {
	share := cmp.Or(ta.LoadShare, DefaultLoadShare)
	changed := len(ro.told) != len(ro.news.Endpoints)
	for i, ne := range ro.news.Endpoints {
		if changed {
			break
		}
		load := ne.Running + ne.Waiting
		changed = float64(max(load-ro.told[i], ro.told[i]-load)) > share*float64(max(ro.told[i], smallLoad))
	}
	if !changed {
		return false
	}
	ro.told = ro.told[:0]
	for _, ne := range ro.news.Endpoints {
		ro.told = append(ro.told, ne.Running+ne.Waiting)
	}
	return true
}

// Exchange takes news from another entry.
func (ta *Table) Exchange(he message.Header, rq ExchangeRequest) ExchangeResponse {
	var an ExchangeResponse
	ta.run(time.Now(), func(now time.Time) { an = ta.takeExchange(he, rq, now) })
	return an
}

// takeExchange merges another entry's news and says what differs after it.
func (ta *Table) takeExchange(he message.Header, rq ExchangeRequest, now time.Time) ExchangeResponse {
	an := ExchangeResponse{Leaving: ta.leaving, Missing: ta.take(rq.News, he.Sender, now)}
	er, ok := ta.entries.get(he.Sender)
	if !ok {
		return an // not on the list yet
	}
	ta.hear(er, rq.Leaving, now)
	if he.Incarnation > er.incarnation {
		er.incarnation = he.Incarnation
		er.leaving = rq.Leaving || leaves(er.instance)
		ta.tellWhole(er)
	}
	dos := ta.domains()
	own := total(dos)
	settled := own == er.own && rq.Digest == er.theirs && !er.pending()
	er.own, er.theirs = own, rq.Digest
	// Differing leavings cannot wait: one of the two gives work to an endpoint
	// that leaves. Other differences are mostly news on their way, and to ask
	// for them would cost what the news need.
	an.LeavingDiffer = own.Leaving != rq.Digest.Leaving
	if settled && own.All != rq.Digest.All {
		an.Domains = dos
	}
	return an
}

// take merges news that came from an entry. It returns whose cards are wanted.
func (ta *Table) take(news []StateUpdate, sender string, now time.Time) (missing []string) {
	for _, ne := range news {
		ro, _ := ta.merge(ne, sender, now)
		if !ro.carded && ro.news.Doubt != Gone {
			missing = append(missing, ne.Instance)
		}
	}
	return missing
}

// Sync answers another entry that found its digest to differ.
func (ta *Table) Sync(he message.Header, rq SyncRequest) SyncResponse {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var an SyncResponse
	known := map[string]KnownState{}
	for _, kn := range rq.Known {
		known[kn.Instance] = kn
		if _, ok := ta.rows.get(kn.Instance); !ok {
			an.Wanted = append(an.Wanted, kn.Instance)
		}
	}
	for _, ro := range ta.rows.values() {
		kn, ok := known[ro.news.Instance]
		if !ok && !rq.asks(ro) {
			continue
		}
		gives, wants := compare(&ro.news, kn, ok)
		switch {
		case gives && ok && kn.Incarnation == ro.news.Incarnation:
			an.News = append(an.News, ro.news)
		case gives:
			an.News = append(an.News, ro.full())
		}
		if wants {
			an.Wanted = append(an.Wanted, ro.news.Instance)
		}
	}
	return an
}

// asks reports whether a row is in what the request is about.
func (rq *SyncRequest) asks(ro *row) bool {
	if ro.news.Doubt == Gone {
		return false
	}
	return rq.Leaving && ro.news.Leaving || slices.Contains(rq.Domains, ro.card.FailureDomain)
}

// compare reports whether a row has something that its short form elsewhere
// lacks, and the other way round.
func compare(ne *StateUpdate, kn KnownState, ok bool) (gives, wants bool) {
	if !ok || ne.Incarnation != kn.Incarnation {
		return !ok || ne.Incarnation > kn.Incarnation, ok && ne.Incarnation < kn.Incarnation
	}
	differs := ne.Sequence == kn.Sequence && ne.Doubt != kn.Doubt // the beats tell who is right
	gives = ne.Sequence > kn.Sequence || ne.Leaving && !kn.Leaving || differs
	wants = ne.Sequence < kn.Sequence || kn.Leaving && !ne.Leaving || differs
	return gives, wants
}

// full returns the row's news with its card.
func (ro *row) full() StateUpdate {
	ne := ro.news
	if ro.carded {
		card := ro.card
		ne.Card = &card
	}
	return ne
}

// ObserveList takes the platform's list of instances. The list lags: an
// instance that it does not hold may be new, and one that it holds may be
// dead. Only its word that an instance leaves counts at once.
func (ta *Table) ObserveList(ins []instancelist.Instance) {
	ta.run(time.Now(), func(now time.Time) { ta.takeList(ins, now) })
}

// takeList takes the states of the listed instances, and forgets entries that
// are neither listed nor heard.
func (ta *Table) takeList(ins []instancelist.Instance, now time.Time) {
	ta.listed = map[string]instancelist.Instance{}
	for _, in := range ins {
		ta.listed[in.ID] = in
		if in.Role == entryRole && in.ID != ta.Instance {
			ta.takeEntry(in, now)
		}
		if ro, ok := ta.rows.get(in.ID); ok && leaves(in) && !ro.news.Leaving {
			ro.news.Leaving = true
			ta.refresh(ro)
			ta.tellAll(in.ID, urgent)
		}
	}
	for _, er := range ta.entries.values() {
		_, listed := ta.listed[er.instance.ID]
		if !listed && now.Sub(er.heard) > cmp.Or(ta.RemoveTimeout, DefaultRemoveTimeout) {
			ta.entries.remove(er.instance.ID)
		}
	}
}

// takeEntry adds or updates another entry.
func (ta *Table) takeEntry(in instancelist.Instance, now time.Time) {
	er, ok := ta.entries.get(in.ID)
	if !ok {
		er = &entryRow{carded: map[string]uint64{}, heard: now}
		ta.entries.set(in.ID, er)
	}
	er.instance = in
	er.leaving = er.leaving || leaves(in)
}

// tellWhole has an entry that started anew, and holds nothing, told of all
// attendants whose home this entry is. Until then it can't serve their callers.
func (ta *Table) tellWhole(er *entryRow) {
	clear(er.carded)
	for _, ro := range ta.rows.values() {
		if ro.via == "" {
			er.tell(ro.news.Instance, urgent)
		}
	}
}

// hear notes that a call to or from another entry succeeded.
func (ta *Table) hear(er *entryRow, leaving bool, now time.Time) {
	er.leaving = er.leaving || leaving
	er.heard = now
	if er.lost {
		er.lost = false
		ta.refreshVia(er.instance.ID)
	}
}

// leaves reports whether the platform's list says that an instance leaves.
func leaves(in instancelist.Instance) bool { return in.State == instancelist.Leaving }
