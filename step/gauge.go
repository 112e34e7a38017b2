package step

import "slices"

// Bounds of measuring how many tokens an event holds.
const (
	// usualEventTokens is assumed of a model before any of its items has ended.
	usualEventTokens = 62
	// gaugeRatios is how many of the newest items count. Hints are off by a half
	// at one standard deviation, so that the median of 64 is off by a tenth.
	gaugeRatios = 64
	// leastRatios is how many items it takes to believe the median.
	leastRatios = 16
	// gaugeEvents is how many events an item must have: the last event of a
	// shorter one holds too few tokens.
	gaugeEvents = 8
)

// A tokenGauge tells how many tokens an event of a model holds. The zero gauge
// knows of no item.
//
// Deployments differ: events of one hold 62 tokens, of another 80. Taken for 62,
// runs of 80 fill an engine's memory a third sooner than expected, and the end
// of the longest item is expected two seconds after it comes.
type tokenGauge struct {
	ratios []float64 // hint by events, of items that ended
	next   int
	median int
}

// observe takes in how many events an item with a hint had. Hints are right at
// the median.
func (ga *tokenGauge) observe(hint, events int) {
	if hint <= 0 || events < gaugeEvents {
		return
	}
	ratio := float64(hint) / float64(events)
	if len(ga.ratios) < gaugeRatios {
		ga.ratios = append(ga.ratios, ratio)
	} else {
		ga.ratios[ga.next] = ratio
		ga.next = (ga.next + 1) % gaugeRatios
	}
	if len(ga.ratios) >= leastRatios {
		sorted := slices.Sorted(slices.Values(ga.ratios))
		ga.median = int(sorted[len(sorted)/2])
	}
}

// eventTokens returns about how many tokens an event holds.
func (ga *tokenGauge) eventTokens() int {
	if ga == nil || ga.median <= 0 {
		return usualEventTokens
	}
	return ga.median
}
