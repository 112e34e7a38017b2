package step

import (
	"time"

	"wisteriacroft/incarnation"
	"wisteriacroft/runner"
)

// applyEntry updates an engine's incarnation and versions from its directory entry. The engine's own reports take
// precedence, unless the entry is of a later incarnation.
func (ta *Table) applyEntry(en *engineRow, in EngineInfo) {
	switch {
	case in.Incarnation.Supersedes(en.incarnation):
		ta.resetEngine(en, in.Incarnation)
	case en.incarnation.Supersedes(in.Incarnation), !en.respondedAt.IsZero():
		return
	}
	en.incarnation = max(en.incarnation, in.Incarnation)
	for model, version := range in.Versions {
		en.versions[model] = max(en.versions[model], version)
	}
}

// resetEngine clears an engine's state after it has restarted under its ID. State of the attendant, which has not
// restarted, is kept.
//
// Otherwise the engine might still count as slow or replaced, and would get no items.
func (ta *Table) resetEngine(en *engineRow, born incarnation.Number) {
	ta.log("engine started again", map[string]any{
		"born": int64(born), engineField: en.id, "former": int64(en.incarnation), "items": len(en.items), "was-slow": !en.slowAt.IsZero(),
	})
	en.incarnation, en.replaced, en.basePace, en.foreignRequests = born, false, 0, 0
	en.brokeRunAt, en.slowAt, en.slowerSince = time.Time{}, time.Time{}, time.Time{}
	en.report, en.versions = runner.Report{}, map[string]uint64{}
}

// applyReport updates an engine from the report in a response. Reports of an earlier incarnation are ignored.
func (ta *Table) applyReport(en *engineRow, re runner.ExchangeResponse, now time.Time) {
	en.respondedAt = now
	if en.incarnation.Supersedes(re.Report.Incarnation) {
		return
	}
	if re.Report.Incarnation.Supersedes(en.incarnation) {
		ta.resetEngine(en, re.Report.Incarnation)
	}
	en.incarnation = max(en.incarnation, re.Report.Incarnation)
	en.report, en.unreachable = re.Report, !re.Reachable
	for model, version := range re.Report.Versions {
		en.versions[model] = version
	}
}
