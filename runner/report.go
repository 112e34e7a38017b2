package runner

import (
	"context"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriacroft/incarnation"
)

// refresh fetches the engine's report.
func (rn *Runner) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	re, err := rn.Engine.ReportFunc(ctx)
	rn.mu.Lock()
	defer rn.mu.Unlock()
	was := rn.reachable()
	if err == nil {
		rn.storeReport(re)
	} else {
		// The engine may restart under another ID. Reporting the old ID would make the
		// scheduler treat the new one as replaced.
		rn.engine = ""
	}
	if is := rn.reachable(); is != was {
		rn.note()
		rn.Log.WithFields(logrus.Fields{"dependency": "engine", "error": err, "reachable": is}).Warn("dependency changed")
	}
}

// storeReport stores a report of the engine.
//
// An engine that crashes may restart under the same ID, with no orders, no runs and an
// unknown pace. A delayed report of an earlier start is ignored: an order based on it
// would carry an invalid sequence number.
func (rn *Runner) storeReport(re Report) {
	current := rn.report.Incarnation
	if current.Supersedes(re.Incarnation) {
		rn.Log.WithFields(logrus.Fields{"born": int64(re.Incarnation), "newest": int64(current)}).Warn("report of an earlier start ignored")
		return
	}
	if re.Incarnation.Supersedes(current) {
		rn.handleRestart(re.Incarnation)
	}
	re.Incarnation = max(re.Incarnation, current)
	if !maps.Equal(re.Versions, rn.report.Versions) {
		rn.note()
	}
	rn.report, rn.reportAt = re, time.Now()
}

// handleRestart discards the state of the engine's previous start and cancels the runs that
// began before that start's last report.
func (rn *Runner) handleRestart(current incarnation.Number) {
	canceled := 0
	for _, ru := range rn.runs {
		if ru.state == Running && ru.startedAt.Before(rn.reportAt) {
			ru.cancel()
			canceled++
		}
	}
	rn.engine = ""
	rn.orderTracker.restart()
	rn.pacer = pacer{}
	rn.Log.WithFields(logrus.Fields{
		"born": int64(current), "runs": canceled, "report-ms": time.Since(rn.reportAt).Milliseconds(),
	}).Warn("engine has started again")
}

func (rn *Runner) reachable() bool { return time.Since(rn.reportAt) < reportTTL }
