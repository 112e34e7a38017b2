package step

import (
	"slices"
	"time"

	"wisteriacroft/hold"
)

// SetHolds sets the holds of operators, unless hs is not newer than the current set. It logs the steps whose hold
// changes.
func (ta *Table) SetHolds(hs *hold.Set, now time.Time) {
	if !hs.Newer(ta.holds) {
		return
	}
	before := ta.holds
	ta.holds = hs
	for _, sr := range ta.openSteps {
		_, was := before.Step(sr.step.ID, sr.step.Customer)
		re, is := hs.Step(sr.step.ID, sr.step.Customer)
		if was == is {
			continue
		}
		sr.holdChangedAt = now
		waits := 0
		for _, ir := range sr.items {
			if ir.state == waiting {
				waits++
			}
		}
		event := "step released"
		if is {
			event = "step held"
		}
		ta.log(event, map[string]any{
			"age-ms": sr.age(now).Milliseconds(), "by": re.By, customerField: sr.step.Customer, "of": string(re.Kind),
			"revision": hs.Version(), stepField: sr.step.ID, "waiting": waits, whyField: re.Why,
		})
	}
}

// held reports whether an operator's hold prevents an item from starting.
//
// Items that have started continue, also on another engine: an item that moves stops first and would lose its text.
func (ta *Table) held(ir *itemRow) bool {
	if len(ir.events) > 0 || ir.moveTarget != "" {
		return false
	}
	_, held := ta.holds.Step(ir.step.step.ID, ir.step.step.Customer)
	return held
}

// fullyHeld reports whether a hold prevents all open items of a step from starting, so that the step needs no
// capacity.
func (ta *Table) fullyHeld(sr *stepRow) bool {
	if _, held := ta.holds.Step(sr.step.ID, sr.step.Customer); !held {
		return false
	}
	return !slices.ContainsFunc(sr.items, func(ir *itemRow) bool { return ir.open() && (ir.state != waiting || !ta.held(ir)) })
}

// heldItemCount returns how many waiting items are held by operators.
func (ta *Table) heldItemCount() int {
	count := 0
	for _, sr := range ta.openSteps {
		if _, held := ta.holds.Step(sr.step.ID, sr.step.Customer); !held {
			continue
		}
		for _, ir := range sr.items {
			if ir.state == waiting && ta.held(ir) {
				count++
			}
		}
	}
	return count
}
