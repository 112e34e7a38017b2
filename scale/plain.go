package scale

import "time"

// An Observation is what one entry has seen of a plain service since it told before.
type Observation struct {
	Begun   int           `cbor:",omitempty"` // requests that endpoints began to run
	Busy    time.Duration `cbor:",omitempty"` // for how long requests had places of endpoints, added up
	Refused int           `cbor:",omitempty"` // requests that no place was found for
	Span    time.Duration `cbor:",omitempty"` // in which all this was
	Waiting int           `cbor:",omitempty"` // requests that waited for a place when it told
}

// A Load is what all entries together see of a plain service.
type Load struct {
	Begun   float64 // requests a second
	Refused float64 // requests a second
	Used    float64 // places that were taken, on the mean
	Waiting int
}

// Add returns the load with what one more process has seen.
func (lo Load) Add(se Observation) Load {
	lo.Waiting += se.Waiting
	if span := se.Span.Seconds(); span > 0 {
		lo.Begun += float64(se.Begun) / span
		lo.Refused += float64(se.Refused) / span
		lo.Used += se.Busy.Seconds() / span
	}
	return lo
}

// PlainSlack is the Service.Slack of plain services. Their load is counted over the short time
// from one telling to the next, so that it differs by about as much from count to count
// when nothing has changed.
const PlainSlack = 0.2

// Work returns the work that comes to a plain service within leastTime. Places are those of
// one of its endpoints.
func (lo Load) Work(places int) Work {
	total := lo.Used + lo.unmet(places)
	if total == 0 {
		return nil
	}
	return Work{{Due: leastTime, Work: time.Duration(total * float64(leastTime))}}
}

// unmet estimates how many more places would be taken if there were enough.
//
// Load pattern: callers that are refused try again several times a second, so that the
// number of refusals says that there are too few endpoints, but exceeds by far what is
// missing. So the estimate is bounded by half of the places that are taken, or by those
// of one endpoint. The number of endpoints then grows in steps, and the effect of each is
// seen before the next.
func (lo Load) unmet(places int) float64 {
	most := max(lo.Used/2, float64(max(places, 1)))
	switch {
	case lo.Refused == 0 && lo.Waiting == 0:
		return 0
	case lo.Begun == 0:
		return most // how long a request takes is not known
	default:
		each := lo.Used / lo.Begun // seconds that a request has a place for
		return min(most, each*(lo.Refused+float64(lo.Waiting)/leastTime.Seconds()))
	}
}
