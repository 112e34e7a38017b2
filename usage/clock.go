package usage

import (
	"slices"
	"time"
)

// Parameters of the clock.
const (
	// convergeTime is how long after its first sample a clock steps to the median. Each
	// instance has sent a sample by then.
	convergeTime = 2 * time.Second
	// seedTimeout replaces convergeTime if entries have the time of an earlier holder. Each of
	// them has pushed by then.
	seedTimeout = maxWake + 2*pushTimeout
	// slewRate bounds the adjustment towards the median afterwards. It exceeds the drift of
	// monotonic clocks, but limits the effect of wall clocks that are temporarily wrong on most
	// instances.
	slewRate = 0.0002
	// adjustInterval is the minimum interval of adjustments, each of which sorts all samples.
	adjustInterval = 100 * time.Millisecond
	// sampleTTL is how long a sample counts.
	sampleTTL = 15 * time.Second
)

// A Clock estimates true time by the median of the wall clocks of many instances, each of which may
// be wrong or may be set. The zero value has no time yet.
type Clock struct {
	startedAt   time.Duration // monotonic time of the first sample
	seeded      bool          // offset was set by Seed
	adjustedAt  time.Duration // monotonic time of the last adjustment
	convergeFor time.Duration // replaces convergeTime unless 0
	known       bool
	offset      time.Duration // of true Unix time from the monotonic clock
	slewedAt    time.Duration
	samples     map[string]sample
}

type sample struct {
	at     time.Duration
	offset time.Duration
}

// AddSample adds a sample of an instance's wall clock, taken at the given monotonic time.
func (cl *Clock) AddSample(instance string, wall time.Time, mono time.Duration) {
	if cl.samples == nil {
		cl.samples, cl.startedAt, cl.slewedAt = map[string]sample{}, mono, mono
	}
	cl.samples[instance] = sample{at: mono, offset: time.Duration(wall.UnixNano()) - mono}
	if !cl.known || mono-cl.adjustedAt >= adjustInterval {
		cl.adjustedAt = mono
		cl.adjust(mono)
	}
}

// Seed sets the true time from that of an earlier holder, unless it is set already. It takes
// precedence over samples, as more than half of the wall clocks may be wrong temporarily.
func (cl *Clock) Seed(at time.Time, mono time.Duration) {
	if cl.seeded {
		return
	}
	cl.seeded, cl.known = true, true
	cl.offset, cl.slewedAt = time.Duration(at.UnixNano())-mono, mono
}

// expectSeed sets whether entries are expected to have the time of an earlier holder.
func (cl *Clock) expectSeed(yes bool) {
	cl.convergeFor = convergeTime
	if yes {
		cl.convergeFor = seedTimeout
	}
}

// converging reports whether the clock still steps to the median.
func (cl *Clock) converging(mono time.Duration) bool {
	return !cl.seeded && mono-cl.startedAt <= max(cl.convergeFor, convergeTime)
}

// adjust moves the clock towards the median of the samples.
func (cl *Clock) adjust(mono time.Duration) {
	offsets := make([]time.Duration, 0, len(cl.samples))
	for instance, sa := range cl.samples {
		if mono-sa.at > sampleTTL {
			delete(cl.samples, instance)
			continue
		}
		offsets = append(offsets, sa.offset)
	}
	slices.Sort(offsets)
	median := offsets[len(offsets)/2]
	if cl.converging(mono) {
		cl.known, cl.offset, cl.slewedAt = true, median, mono
		return
	}
	limit := time.Duration(slewRate * float64(mono-cl.slewedAt))
	cl.offset += min(max(median-cl.offset, -limit), limit)
	cl.slewedAt = mono
}

// Settled reports whether the time is known and no longer converging.
func (cl *Clock) Settled(mono time.Duration) bool {
	return cl.known && !cl.converging(mono)
}

// Time returns the true time at a monotonic time.
func (cl *Clock) Time(mono time.Duration) time.Time {
	return time.Unix(0, int64(cl.offset+mono))
}
