package admission

import "time"

// A Response is what an endpoint's answer tells of its room.
type Response struct {
	At       time.Time
	InFlight int           // own requests there, that which is answered among them
	Load     Load          // if it says so
	Refused  bool          // the endpoint was full
	Slots    int           // requests that the endpoint serves at once
	Target   time.Duration // that a request may spend there
	Told     bool          // Load is set
	Took     time.Duration
}

// UnloadedLatency returns how long the request would have taken by itself at the usual pace, as
// far as the endpoint tells what it had beside.
func (an Response) UnloadedLatency() time.Duration {
	if !an.Told {
		return an.Took
	}
	one := float64(an.Took) / an.Load.slowdown()
	if an.Load.Waiting > 0 {
		one /= crowd(an.Load.Running+an.Load.Waiting, an.slots())
	}
	return time.Duration(one)
}

func (an Response) slots() int {
	if an.Told && an.Load.Places > 0 {
		return an.Load.Places
	}
	return max(an.Slots, 1)
}
