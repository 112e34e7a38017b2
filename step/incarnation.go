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
	case in.Incarnation.Supersedes(en.born):
		ta.reborn(en, in.Incarnation)
	case en.born.Supersedes(in.Incarnation), !en.heardAt.IsZero():
		return
	}
	en.born = max(en.born, in.Incarnation)
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
		"born": int64(born), engineField: en.id, "former": int64(en.born), "items": len(en.items), "was-slow": !en.slowAt.IsZero(),
	})
	en.born, en.gone, en.base, en.foreign = born, false, 0, 0
	en.failed, en.slowAt, en.slowerAt = time.Time{}, time.Time{}, time.Time{}
	en.report, en.versions = runner.Report{}, map[string]uint64{}
}

// takeReport takes in what an engine said to its attendant. A report of a former
// start says nothing of the engine that is there now.
func (ta *Table) takeReport(en *engineRow, re runner.ExchangeResponse, now time.Time) {
	en.heardAt = now
	if en.born.Supersedes(re.Report.Incarnation) {
		return
	}
	if re.Report.Incarnation.Supersedes(en.born) {
		ta.reborn(en, re.Report.Incarnation)
	}
	en.born = max(en.born, re.Report.Incarnation)
	en.report, en.sick = re.Report, !re.Reachable
	for model, version := range re.Report.Versions {
		en.versions[model] = version
	}
}
