package membership

import (
	"cmp"
	"slices"
	"time"

	"wisteriacroft/instancelist"
	"wisteriacroft/message"
)

// Report handles an attendant's report.
func (ta *Table) Report(_ message.Header, rq ReportRequest) ReportResponse {
	var re ReportResponse
	ta.run(time.Now(), func(now time.Time) { re = ta.handleReport(rq, now) })
	return re
}

// handleReport merges an attendant's state and marks it to be sent to other entries.
func (ta *Table) handleReport(rq ReportRequest, now time.Time) ReportResponse {
	before, known := ta.rows.get(rq.News.Instance)
	var was StateUpdate
	var via string
	if known {
		was, via = before.state, before.via
	}
	ro, left := ta.merge(rq.News, "", now)
	switch {
	case left:
		ta.markAllDirty(rq.News.Instance, urgent)
	case !known || via != ro.via || stateChanged(&was, &ro.state):
		ta.markAllDirty(rq.News.Instance, normal)
	case ta.loadChanged(ro):
		ta.markAllDirty(rq.News.Instance, low)
	}
	return ReportResponse{EntryLeaving: ta.leaving, Leaving: ro.state.Leaving, WantCard: !ro.hasDescriptor}
}

// stateChanged reports whether more than loads and heartbeats differ.
func stateChanged(a, b *StateUpdate) bool {
	return a.Incarnation != b.Incarnation || a.Sequence != b.Sequence || a.Doubt != b.Doubt
}

// loadChanged reports whether the load differs enough from what was last sent to other entries,
// and if so records it as sent.
//
// Load changes with each request, and sending each change would use too much bandwidth. Other
// entries need it only roughly, as the attendant's responses carry it too.
func (ta *Table) loadChanged(ro *row) bool {
	share := cmp.Or(ta.LoadShare, DefaultLoadShare)
	changed := len(ro.sentLoads) != len(ro.state.Endpoints)
	for i, up := range ro.state.Endpoints {
		if changed {
			break
		}
		load := up.Running + up.Waiting
		changed = float64(max(load-ro.sentLoads[i], ro.sentLoads[i]-load)) > share*float64(max(ro.sentLoads[i], minLoadBase))
	}
	if !changed {
		return false
	}
	ro.sentLoads = ro.sentLoads[:0]
	for _, up := range ro.state.Endpoints {
		ro.sentLoads = append(ro.sentLoads, up.Running+up.Waiting)
	}
	return true
}

// Exchange handles another entry's updates.
func (ta *Table) Exchange(he message.Header, rq ExchangeRequest) ExchangeResponse {
	var re ExchangeResponse
	ta.run(time.Now(), func(now time.Time) { re = ta.handleExchange(he, rq, now) })
	return re
}

// handleExchange merges another entry's updates and returns what still differs.
func (ta *Table) handleExchange(he message.Header, rq ExchangeRequest, now time.Time) ExchangeResponse {
	re := ExchangeResponse{Leaving: ta.leaving, Missing: ta.mergeAll(rq.News, he.Sender, now)}
	er, ok := ta.entries.get(he.Sender)
	if !ok {
		return re // not on the list yet
	}
	ta.recordContact(er, rq.Leaving, now)
	if he.Incarnation > er.incarnation {
		er.incarnation = he.Incarnation
		er.leaving = rq.Leaving || isLeaving(er.instance)
		ta.markOwnDirty(er)
	}
	dos := ta.domainDigests()
	own := combine(dos)
	settled := own == er.ownDigest && rq.Digest == er.theirDigest && !er.pending()
	er.ownDigest, er.theirDigest = own, rq.Digest
	// A difference in leaving attendants is urgent: one of the two entries sends work to a
	// leaving endpoint. Other differences are mostly updates on their way, so that a sync is
	// worth its bandwidth only once both sides are stable.
	re.LeavingDiffer = own.Leaving != rq.Digest.Leaving
	if settled && own.All != rq.Digest.All {
		re.Domains = dos
	}
	return re
}

// mergeAll merges updates from an entry. It returns the attendants whose descriptors are
// missing.
func (ta *Table) mergeAll(updates []StateUpdate, sender string, now time.Time) (missing []string) {
	for _, up := range updates {
		ro, _ := ta.merge(up, sender, now)
		if !ro.hasDescriptor && ro.state.Doubt != Gone {
			missing = append(missing, up.Instance)
		}
	}
	return missing
}

// Sync handles the request of an entry whose digest differs.
func (ta *Table) Sync(he message.Header, rq SyncRequest) SyncResponse {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var re SyncResponse
	known := map[string]KnownState{}
	for _, kn := range rq.Known {
		known[kn.Instance] = kn
		if _, ok := ta.rows.get(kn.Instance); !ok {
			re.Wanted = append(re.Wanted, kn.Instance)
		}
	}
	for _, ro := range ta.rows.values() {
		kn, ok := known[ro.state.Instance]
		if !ok && !rq.matches(ro) {
			continue
		}
		gives, wants := compare(&ro.state, kn, ok)
		switch {
		case gives && ok && kn.Incarnation == ro.state.Incarnation:
			re.News = append(re.News, ro.state)
		case gives:
			re.News = append(re.News, ro.full())
		}
		if wants {
			re.Wanted = append(re.Wanted, ro.state.Instance)
		}
	}
	return re
}

// matches reports whether a row is in the scope of the request.
func (rq *SyncRequest) matches(ro *row) bool {
	if ro.state.Doubt == Gone {
		return false
	}
	return rq.Leaving && ro.state.Leaving || slices.Contains(rq.Domains, ro.descriptor.FailureDomain)
}

// compare reports whether a row has something newer than its summary from another entry, and
// the other way round. Both may be true.
func compare(up *StateUpdate, kn KnownState, ok bool) (gives, wants bool) {
	if !ok || up.Incarnation != kn.Incarnation {
		return !ok || up.Incarnation > kn.Incarnation, ok && up.Incarnation < kn.Incarnation
	}
	differs := up.Sequence == kn.Sequence && up.Doubt != kn.Doubt // merge decides by the heartbeat
	gives = up.Sequence > kn.Sequence || up.Leaving && !kn.Leaving || differs
	wants = up.Sequence < kn.Sequence || kn.Leaving && !up.Leaving || differs
	return gives, wants
}

// full returns the row's state with its descriptor.
func (ro *row) full() StateUpdate {
	up := ro.state
	if ro.hasDescriptor {
		de := ro.descriptor
		up.Card = &de
	}
	return up
}

// ObserveList applies the platform's list of instances. The list lags behind: a missing instance
// may be new, and a listed one may be dead. Only the state Leaving takes effect at once.
func (ta *Table) ObserveList(ins []instancelist.Instance) {
	ta.run(time.Now(), func(now time.Time) { ta.applyList(ins, now) })
}

// applyList applies the states of the listed instances, and removes entries that are neither
// listed nor reachable.
func (ta *Table) applyList(ins []instancelist.Instance, now time.Time) {
	ta.listed = map[string]instancelist.Instance{}
	for _, in := range ins {
		ta.listed[in.ID] = in
		if in.Role == entryRole && in.ID != ta.Instance {
			ta.upsertEntry(in, now)
		}
		if ro, ok := ta.rows.get(in.ID); ok && isLeaving(in) && !ro.state.Leaving {
			ro.state.Leaving = true
			ta.refresh(ro)
			ta.markAllDirty(in.ID, urgent)
		}
	}
	for _, er := range ta.entries.values() {
		_, listed := ta.listed[er.instance.ID]
		if !listed && now.Sub(er.lastContact) > cmp.Or(ta.RemoveTimeout, DefaultRemoveTimeout) {
			ta.entries.remove(er.instance.ID)
		}
	}
}

// upsertEntry adds or updates another entry.
func (ta *Table) upsertEntry(in instancelist.Instance, now time.Time) {
	er, ok := ta.entries.get(in.ID)
	if !ok {
		er = &entryRow{descriptors: map[string]uint64{}, lastContact: now}
		ta.entries.set(in.ID, er)
	}
	er.instance = in
	er.leaving = er.leaving || isLeaving(in)
}

// markOwnDirty marks all attendants that report to this entry to be sent to an entry that has
// restarted with an empty table, and cannot use their endpoints until then.
func (ta *Table) markOwnDirty(er *entryRow) {
	clear(er.descriptors)
	for _, ro := range ta.rows.values() {
		if ro.via == "" {
			er.markDirty(ro.state.Instance, urgent)
		}
	}
}

// recordContact records a successful call to or from another entry.
func (ta *Table) recordContact(er *entryRow, leaving bool, now time.Time) {
	er.leaving = er.leaving || leaving
	er.lastContact = now
	if er.lost {
		er.lost = false
		ta.refreshVia(er.instance.ID)
	}
}

// isLeaving reports whether an instance is leaving according to the platform's list.
func isLeaving(in instancelist.Instance) bool { return in.State == instancelist.Leaving }
