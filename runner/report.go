package runner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriacroft/incarnation"
)

// refresh asks the engine for its report.
func (rn *Runner) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	re, err := rn.Engine.ReportFunc(ctx)
	rn.mu.Lock()
	defer rn.mu.Unlock()
	was := rn.reachable()
	if err == nil {
		rn.takeReport(re)
	} else {
		// It may come back under another ID, and the scheduler would take that for one
		// that was replaced.
		rn.engine = ""
	}
	if is := rn.reachable(); is != was {
		rn.Log.WithFields(logrus.Fields{"dependency": "engine", "error": err, "reachable": is}).Warn("dependency changed")
	}
}

// takeReport takes in what the engine says of itself.
//
// An engine that crashes may come back under its ID. It holds no order, runs
// nothing and its pace is not known. A report of its former start that comes late
// says nothing of it: taken for news, an order would name a sequence that the
// engine no longer has.
func (rn *Runner) takeReport(re Report) {
	born := rn.report.Incarnation
	if born.Supersedes(re.Incarnation) {
		rn.Log.WithFields(logrus.Fields{"born": int64(re.Incarnation), "newest": int64(born)}).Warn("report of an earlier start ignored")
		return
	}
	if re.Incarnation.Supersedes(born) {
		rn.restarted(re.Incarnation)
	}
	re.Incarnation = max(re.Incarnation, born)
	rn.report, rn.reportAt = re, time.Now()
}

// restarted drops what was known of the engine's former start, and breaks the runs
// that it was given: those that were begun before it last reported.
func (rn *Runner) restarted(born incarnation.Number) {
	broken := 0
	for _, ru := range rn.runs {
		if ru.state == Running && ru.begun.Before(rn.reportAt) {
			ru.cancel()
			broken++
		}
	}
	rn.engine = ""
	rn.orders.restart()
	rn.pacer = pacer{}
	rn.Log.WithFields(logrus.Fields{
		"born": int64(born), "runs": broken, "report-ms": time.Since(rn.reportAt).Milliseconds(),
	}).Warn("engine has started again")
}

func (rn *Runner) reachable() bool { return time.Since(rn.reportAt) < reachableFor }
