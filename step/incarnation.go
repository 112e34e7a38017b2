package step

import (
	"time"

	"wisteriacroft/incarnation"
	"wisteriacroft/runner"
)

// takeEntry takes in what an engine's entry says of its start and its versions.
// What the engine itself reports is newer, unless the entry is of a later start.
func (ta *Table) takeEntry(en *engineRow, in EngineInfo) {
	switch {
	case in.Incarnation.Supersedes(en.incarnation):
		ta.reborn(en, in.Incarnation)
	case en.incarnation.Supersedes(in.Incarnation), !en.respondedAt.IsZero():
		return
	}
	en.incarnation = max(en.incarnation, in.Incarnation)
	for model, version := range in.Versions {
		en.versions[model] = max(en.versions[model], version)
	}
}

// reborn drops what was believed of an engine that has started again under its
// ID. What its attendant was told still holds, as that has not.
//
// Taken for the former start, it counts as slow or as replaced though it is
// neither, and stays without work for seconds or for good.
func (ta *Table) reborn(en *engineRow, born incarnation.Number) {
	ta.log("engine started again", map[string]any{
		"born": int64(born), engineField: en.id, "former": int64(en.incarnation), "items": len(en.items), "was-slow": !en.slowAt.IsZero(),
	})
	en.incarnation, en.replaced, en.basePace, en.foreignRequests = born, false, 0, 0
	en.brokeRunAt, en.slowAt, en.slowerSince = time.Time{}, time.Time{}, time.Time{}
	en.report, en.versions = runner.Report{}, map[string]uint64{}
}

// takeReport takes in what an engine said to its attendant. A report of a former
// start says nothing of the engine that is there now.
func (ta *Table) takeReport(en *engineRow, re runner.ExchangeResponse, now time.Time) {
	en.respondedAt = now
	if en.incarnation.Supersedes(re.Report.Incarnation) {
		return
	}
	if re.Report.Incarnation.Supersedes(en.incarnation) {
		ta.reborn(en, re.Report.Incarnation)
	}
	en.incarnation = max(en.incarnation, re.Report.Incarnation)
	en.report, en.unreachable = re.Report, !re.Reachable
	for model, version := range re.Report.Versions {
		en.versions[model] = version
	}
}
