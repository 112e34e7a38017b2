package step

import (
	"slices"
	"time"

	"wisteriacroft/hold"
)

// SetHolds takes in what operators hold back, unless what is known is as new, and logs
// the steps that this changes.
func (ta *Table) SetHolds(sh *hold.Set, now time.Time) {
	if !sh.Newer(ta.holds) {
		return
	}
	before := ta.holds
	ta.holds = sh
	for _, sr := range ta.openSteps {
		_, was := before.Step(sr.step.ID, sr.step.Customer)
		re, is := sh.Step(sr.step.ID, sr.step.Customer)
		if was == is {
			continue
		}
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
			"revision": sh.Version(), stepField: sr.step.ID, "waiting": waits, whyField: re.Why,
		})
	}
}

// held reports whether an operator keeps an item from beginning.
//
// What has begun goes on, also elsewhere: an item that moves to another engine stops
// first, and would lose the work that is in it.
func (ta *Table) held(ir *itemRow) bool {
	if len(ir.events) > 0 || ir.moveTarget != "" {
		return false
	}
	_, held := ta.holds.Step(ir.step.step.ID, ir.step.step.Customer)
	return held
}

// idleByHold reports whether an operator keeps all that is open of a step from beginning:
// no room is to be kept for it.
func (ta *Table) idleByHold(sr *stepRow) bool {
	if _, held := ta.holds.Step(sr.step.ID, sr.step.Customer); !held {
		return false
	}
	return !slices.ContainsFunc(sr.items, func(ir *itemRow) bool { return ir.open() && (ir.state != waiting || !ta.held(ir)) })
}

// heldItems returns how many items wait that an operator keeps from beginning.
func (ta *Table) heldItems() int {
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
