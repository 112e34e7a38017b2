package admission

import "time"

// A Response describes an endpoint's response to a request.
type Response struct {
	At       time.Time
	InFlight int           // the sender's requests at the endpoint, including the answered one
	Load     Load          // valid if Told
	Refused  bool          // the endpoint was full
	Slots    int           // configured concurrency of the endpoint
	Target   time.Duration // time that a request may spend at the endpoint; 0 for no target
	Told     bool          // the endpoint reported its load
	Took     time.Duration
}

// UnloadedLatency estimates how long the request would have taken without concurrent requests and at
// normal speed. Without a reported load it returns Took.
func (re Response) UnloadedLatency() time.Duration {
	if !re.Told {
		return re.Took
	}
	one := float64(re.Took) / re.Load.slowdown()
	if re.Load.Waiting > 0 {
		one /= loadFactor(re.Load.Running+re.Load.Waiting, re.slots())
	}
	return time.Duration(one)
}

func (re Response) slots() int {
	if re.Told && re.Load.Places > 0 {
		return re.Load.Places
	}
	return max(re.Slots, 1)
}
