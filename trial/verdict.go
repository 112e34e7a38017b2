package trial

import (
	"fmt"
	"sync"

	"wisteriacroft/standin"
)

// An expectation is how calls may end under a fault.
type expectation int

// How calls may end, from best to worst.
const (
	allWhole    expectation = iota // every call gets its complete response
	allAnswered                    // every call gets its complete response or a typed refusal
	someBroken                     // the caller's own connection may break
)

// A verdict collects the violated guarantees that no summary counts.
type verdict struct {
	mu     sync.Mutex
	broken []string
}

// add adds a violated guarantee.
func (ve *verdict) add(format string, args ...any) {
	ve.mu.Lock()
	defer ve.mu.Unlock()
	ve.broken = append(ve.broken, fmt.Sprintf(format, args...))
}

// lines returns the violated guarantees that were added.
func (ve *verdict) lines() []string {
	ve.mu.Lock()
	defer ve.mu.Unlock()
	return ve.broken
}

// violations returns the violated guarantees according to a summary.
func (ve *verdict) violations(sum Summary, counted standin.ClientsSummary, expected expectation) []string {
	var broken []string
	for _, row := range []struct {
		name  string
		count int
	}{
		{"samples-lost", sum.SamplesLost},
		{"samples-doubled", sum.SamplesDoubled},
		{"samples-stale", sum.SamplesStale},
		{"samples-misattributed", sum.SamplesMisattributed},
		{"answers-crossed", sum.AnswersCrossed},
		{"not-repeatable-run-twice", sum.NotRepeatableRunTwice},
		{"not-run-but-ran", sum.NotRunButRan},
	} {
		if row.count != 0 {
			broken = append(broken, fmt.Sprintf("%s is %d, not 0", row.name, row.count))
		}
	}
	for _, ca := range counted.Callers {
		if text := callerViolation(ca, expected); text != "" {
			broken = append(broken, text)
		}
	}
	return broken
}

// callerViolation describes the calls of a caller that ended worse than expected, or
// returns "".
func callerViolation(ca standin.CallerSummary, expected expectation) string {
	switch {
	case ca.Calls == 0:
		return fmt.Sprintf("%s made no call", ca.Name)
	case expected == allWhole && ca.Whole < ca.Calls:
		return fmt.Sprintf("%s got %d whole answers to %d calls: broken %d, crossed %d, refused %v%s",
			ca.Name, ca.Whole, ca.Calls, ca.Broken, ca.Crossed, ca.Refused, firstFailures(ca))
	case expected < someBroken && ca.Broken > 0:
		return fmt.Sprintf("%s got no answer to %d of %d calls%s", ca.Name, ca.Broken, ca.Calls, firstFailures(ca))
	default:
		return ""
	}
}

// firstFailures describes how the first broken and the first refused call of a caller ended, if known.
func firstFailures(ca standin.CallerSummary) string {
	var text string
	if ca.BrokenBy != "" {
		text += ", the first broken " + ca.BrokenBy
	}
	if ca.RefusedBy != "" {
		text += ", the first refused " + ca.RefusedBy
	}
	return text
}
