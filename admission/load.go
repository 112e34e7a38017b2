// Package admission decides whether a live request is sent to an endpoint, queued or rejected. It
// does no I/O and reads no clock.
package admission

import (
	"strconv"
	"strings"
)

// A Load is the load that an endpoint reports with its responses.
type Load struct {
	Running int
	Waiting int
	Places  int
	Pace    int // current duration of work in percent of the normal one; 0 if not reported
}

// ParseLoad parses "running,waiting,places" or "running,waiting,places,pace".
func ParseLoad(text string) (Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 && len(parts) != 4 {
		return Load{}, false
	}
	var counts [4]int
	for i, part := range parts {
		count, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || count < 0 {
			return Load{}, false
		}
		counts[i] = count
	}
	return Load{Running: counts[0], Waiting: counts[1], Places: counts[2], Pace: counts[3]}, true
}

// slowdown returns the current duration of work as a multiple of the normal one.
func (lo Load) slowdown() float64 {
	if lo.Pace <= 0 {
		return 1
	}
	return float64(lo.Pace) / normalPace
}

// normalPace is the Pace of an endpoint at normal speed.
const normalPace = 100
