package fairshare

import "time"

const (
	// RecentTime is the length of the window of a RecentUsage.
	RecentTime = time.Minute
	// spanCount is the number of spans in the window. Usage expires by whole spans.
	spanCount  = 12
	spanLength = RecentTime / spanCount
)

// A RecentUsage measures the slots that customers used within RecentTime. The zero value is
// ready to use. It is not safe for concurrent use.
//
// Unlike an Account, it also includes slots that weren't scarce, and customers with which the
// others have caught up.
type RecentUsage struct {
	spans  [spanCount]map[string]float64 // slot seconds by customer
	number int64                         // of the newest span, counted from the Unix epoch
}

// Add adds the slots that customers used during the elapsed time that ends now.
func (re *RecentUsage) Add(slots map[string]int, elapsed time.Duration, now time.Time) {
	re.advance(now)
	span := re.spans[re.number%spanCount]
	if span == nil {
		span = map[string]float64{}
		re.spans[re.number%spanCount] = span
	}
	for customer, count := range slots {
		if _, known := span[customer]; known || len(span) < maxCustomers {
			span[customer] += float64(count) * elapsed.Seconds()
		}
	}
}

// Shares returns, by customer, the fraction of the slot time used within RecentTime.
func (re *RecentUsage) Shares(now time.Time) map[string]float64 {
	re.advance(now)
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

// advance advances to the span of now, and clears the spans that have expired.
func (re *RecentUsage) advance(now time.Time) {
	number := now.UnixNano() / int64(spanLength)
	for range min(max(number-re.number, 0), spanCount) {
		re.number++
		re.spans[re.number%spanCount] = nil
	}
	re.number = max(number, re.number)
}
