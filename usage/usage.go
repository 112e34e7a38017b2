// Package usage counts, for each customer, the requests that endpoints began to run in
// each window of true time, and reports each window once.
//
// Entries record what begins and push it to the holder, the process that reports. What
// is reported of a window is decided once and kept before it is sent, so that a
// successor sends the very same. What decides stands apart from talk and clocks:
// Recorder at an entry, Clock and Aggregator at the holder.
package usage

import "time"

// A Window is the number of a window: how many came before it since the start of 1970.
type Window int64

// WindowOf returns the window of a size that a moment lies in.
func WindowOf(at time.Time, size time.Duration) Window {
	return Window(at.UnixNano() / int64(size))
}

// End returns when a window of a size ends.
func (wi Window) End(size time.Duration) time.Time {
	return time.Unix(0, (int64(wi)+1)*int64(size))
}

// A Report is what is said of a window, once and for all.
type Report struct {
	Counts map[string]uint64 // by customer
	Window Window
}

// total returns how many requests a report counts.
func (re Report) total() uint64 {
	total := uint64(0)
	for _, count := range re.Counts {
		total += count
	}
	return total
}
