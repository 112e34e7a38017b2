package scale

import "time"

// An Observation is an entry's load of a plain service since its previous report.
type Observation struct {
	Begun   int           `cbor:",omitempty"` // requests that endpoints started to run
	Busy    time.Duration `cbor:",omitempty"` // total time that requests used slots
	Refused int           `cbor:",omitempty"` // requests rejected for lack of a slot
	Span    time.Duration `cbor:",omitempty"` // length of the observation
	Waiting int           `cbor:",omitempty"` // requests waiting for a slot at its end
}

// A Load is the total load of a plain service.
type Load struct {
	Begun   float64 // started requests per second
	Refused float64 // rejected requests per second
	Used    float64 // mean number of used slots
	Waiting int     // requests waiting for a slot
}

// Add returns the load plus one entry's observation.
func (lo Load) Add(ob Observation) Load {
	lo.Waiting += ob.Waiting
	if span := ob.Span.Seconds(); span > 0 {
		lo.Begun += float64(ob.Begun) / span
		lo.Refused += float64(ob.Refused) / span
		lo.Used += ob.Busy.Seconds() / span
	}
	return lo
}

// PlainSlack is the Service.Slack of plain services. It covers the random variation of their load,
// which is observed over short intervals.
const PlainSlack = 0.2

// Work returns the work that a plain service gets within minSpan. Places is the number of slots of
// one endpoint.
func (lo Load) Work(places int) Work {
	total := lo.Used + lo.unmetDemand(places)
	if total == 0 {
		return nil
	}
	return Work{{Due: minSpan, Work: time.Duration(total * float64(minSpan))}}
}

// unmetDemand estimates how many more slots would be used if there were enough.
//
// Rejected callers retry several times a second, so that the number of rejections overestimates the
// demand. So the estimate is bounded by half of the used slots or by those of one endpoint, whichever
// is more, and the number of endpoints grows in steps.
func (lo Load) unmetDemand(places int) float64 {
	most := max(lo.Used/2, float64(max(places, 1)))
	switch {
	case lo.Refused == 0 && lo.Waiting == 0:
		return 0
	case lo.Begun == 0:
		return most // the duration of a request is unknown
	default:
		perRequest := lo.Used / lo.Begun // seconds that a request uses a slot
		return min(most, perRequest*(lo.Refused+float64(lo.Waiting)/minSpan.Seconds()))
	}
}
