// Package usage counts the requests that endpoints started to run, by customer and time window, and
// reports each window once.
//
// Entries record starts in a Recorder and push them to the holder of a lease, whose Collector
// reports them. A report is final and saved before it is sent, so that a successor sends the same
// one. Recorder, Clock and Aggregator do no I/O.
package usage

import "time"

// A Window is the number of a time window since the Unix epoch.
type Window int64

// WindowOf returns the window of a size that contains a time.
func WindowOf(at time.Time, size time.Duration) Window {
	return Window(at.UnixNano() / int64(size))
}

// End returns when a window of a size ends.
func (wi Window) End(size time.Duration) time.Time {
	return time.Unix(0, (int64(wi)+1)*int64(size))
}

// A Report is the final count of a window.
type Report struct {
	Counts map[string]uint64 // by customer
	Window Window
}

// total returns the total count of a report.
func (re Report) total() uint64 {
	total := uint64(0)
	for _, count := range re.Counts {
		total += count
	}
	return total
}
