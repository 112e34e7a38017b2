package forward

import (
	"time"

	"wisteriacroft/admission"
	"wisteriacroft/directory"
)

// A seat is room for one more request at an endpoint.
type seat struct {
	alone  bool      // the request would wait for no other
	answer time.Time // when it is answered there, with few exceptions
	least  time.Time // the same if it were alone
}

// A fit reports whether room suits a request.
type fit func(se seat) bool

// anyTime suits a request that is of use late too.
func anyTime(seat) bool { return true }

// inTime suits a request that is to be answered by a time.
func inTime(goal time.Time) fit { return func(se seat) bool { return !se.answer.After(goal) } }

// leftOver suits a request that is late, while others are refused: room that none of
// those in time would get, whose goal is at the time given if they come now.
func leftOver(goal time.Time) fit {
	return func(se seat) bool { return se.alone || se.least.After(goal) }
}

// PickAvailable is Pick among endpoints that have room for one more request and suit it.
func (ta *Table) PickAvailable(ens []directory.Endpoint, tried map[string]bool, domain string, now time.Time, fits fit) (directory.Endpoint, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	sound := ta.anySound(ens, tried, now)
	return ta.choose(ens, tried, home{domain, callersDomain}, now, func(en directory.Endpoint, ro *row) bool {
		return ro.usable(sound, now) && ro.room.Available(ro.inFlight, en.Slots, now) && fits(ro.seat(en, now))
	})
}

func (ro *row) seat(en directory.Endpoint, now time.Time) seat {
	return seat{
		alone:  ro.inFlight+ro.room.OthersInFlight(now) < en.Slots,
		answer: now.Add(ro.room.LatencyBound(ro.inFlight, en.Slots, now)),
		least:  now.Add(ro.room.UnloadedLatency(now)),
	}
}

// anySound reports whether any endpoint can be had that has not just failed.
func (ta *Table) anySound(ens []directory.Endpoint, tried map[string]bool, now time.Time) bool {
	for _, en := range ens {
		if !en.Leaving && !tried[en.ID] && !now.Before(ta.rowOf(en).penalty) {
			return true
		}
	}
	return false
}

// usable reports whether requests may go to an endpoint: one that just failed gets
// them only when all did.
func (ro *row) usable(sound bool, now time.Time) bool { return !sound || !now.Before(ro.penalty) }

// Forecast returns what endpoints are likely to do for one sender.
func (ta *Table) Forecast(ens []directory.Endpoint, now time.Time) admission.Forecast {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var ou admission.Forecast
	sound := ta.anySound(ens, nil, now)
	for _, en := range ens {
		ro := ta.rowOf(en)
		if en.Leaving || !ro.usable(sound, now) {
			continue
		}
		ou.Total += ro.room.TotalRate(en.Slots, now)
		ou.Rate += ro.room.Rate(ro.inFlight, en.Slots, now)
		if expected := ro.room.LatencyBound(ro.inFlight, en.Slots, now); ou.Expected == 0 || expected < ou.Expected {
			ou.Expected = expected
		}
	}
	return ou
}
