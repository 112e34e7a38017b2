package fairshare

import "time"

const (
	// RecentTime is how far a RecentUsage looks back.
	RecentTime = time.Minute
	// recentSpans is into how many spans that time is divided; the oldest is dropped whole.
	recentSpans = 12
	spanTime    = RecentTime / recentSpans
)

// A RecentUsage counts the places that customers had within RecentTime, so that a customer whose
// steps were late for want of room can see who had it. The zero RecentUsage is empty and ready
// to use.
//
// An Account can't tell this: it counts only places that were scarce, and drops customers
// with which the others have caught up.
type RecentUsage struct {
	spans  [recentSpans]map[string]float64 // places times seconds, by customer
	number int64                           // of the newest span, counted from the Unix epoch
}

// Add counts the places that customers had for a time that ends now.
func (re *RecentUsage) Add(places map[string]int, elapsed time.Duration, now time.Time) {
	re.forget(now)
	span := re.spans[re.number%recentSpans]
	if span == nil {
		span = map[string]float64{}
		re.spans[re.number%recentSpans] = span
	}
	for customer, count := range places {
		if _, known := span[customer]; known || len(span) < maxRows {
			span[customer] += float64(count) * elapsed.Seconds()
		}
	}
}

// Parts returns which part of the places that were taken each customer had, over
// RecentTime.
func (re *RecentUsage) Parts(now time.Time) map[string]float64 {
	re.forget(now)
	parts, total := map[string]float64{}, 0.0
	for _, span := range re.spans {
		for customer, had := range span {
			parts[customer] += had
			total += had
		}
	}
	for customer := range parts {
		if parts[customer] /= total; !(parts[customer] > 0) { // drops NaN, too
			delete(parts, customer)
		}
	}
	return parts
}

// forget moves on to the span of now, and empties the spans that have become too old.
func (re *RecentUsage) forget(now time.Time) {
	number := now.UnixNano() / int64(spanTime)
	for range min(max(number-re.number, 0), recentSpans) {
		re.number++
		re.spans[re.number%recentSpans] = nil
	}
	re.number = max(number, re.number)
}
