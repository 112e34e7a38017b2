package overview

import (
	"cmp"
	"slices"

	"wisteriacroft/hold"
)

// Limits of an overview.
const (
	// DefaultRows is the default maximum length of each list.
	DefaultRows = 100
	// MaxRows is the largest maximum that may be requested. With the longest names of steps, such an overview still
	// fits a message between processes.
	MaxRows = 1500
)

// Summarize returns the overview of a snapshot, with at most rows entries in each list: the most troubled steps and
// engines, and the customers with the most waiting items.
func Summarize(sn Snapshot, rows int) Overview {
	if rows <= 0 {
		rows = DefaultRows
	}
	rows = min(rows, MaxRows)
	ov := Overview{At: sn.Now, Epoch: sn.Epoch, Holds: sn.Holds, StoreHeard: sn.StoreHeard}
	if ov.Holds == nil {
		ov.Holds = []hold.Record{}
	}
	states := map[string]State{}
	for _, en := range sn.Engines {
		states[en.ID] = en.State
	}
	predictions := predict(sn)
	for i := range sn.Steps {
		sn.Steps[i].assess(predictions[i], states)
		ov.Steps = append(ov.Steps, sn.Steps[i].Step)
	}
	ov.Customers = customers(sn)
	ov.Engines = slices.Clone(sn.Engines)
	slices.SortStableFunc(ov.Steps, compareSteps)
	slices.SortStableFunc(ov.Customers, compareCustomers)
	slices.SortStableFunc(ov.Engines, compareEngines)
	ov.Steps, ov.Omitted.Steps = truncate(ov.Steps, rows)
	ov.Customers, ov.Omitted.Customers = truncate(ov.Customers, rows)
	ov.Engines, ov.Omitted.Engines = truncate(ov.Engines, rows)
	return ov
}

// truncate returns the first rows entries, and how many others there are.
func truncate[Row any](all []Row, rows int) ([]Row, int) {
	if len(all) <= rows {
		return append([]Row{}, all...), 0
	}
	return all[:rows], len(all) - rows
}

// assess sets a step's expected end, whether it is late, and why. A step whose end can't be predicted is late once it
// is overdue.
func (sr *StepRow) assess(prs []prediction, engines map[string]State) {
	sr.Reason, sr.Via, sr.wait = "", "", commonWait(prs)
	last, open := sr.deciding(prs)
	switch {
	case !open && sr.Whole >= sr.Wanted:
		sr.End, sr.Late = sr.Age, sr.Age > sr.Due
		if sr.Items.Listed < sr.Items.Whole+sr.Items.Lost {
			sr.Reason = ToBeListed
		}
		return
	case !open:
		sr.Late, sr.Reason = true, ItemsLost
		return
	}
	if last.known {
		sr.End = sr.Age + last.after
	}
	sr.Late = sr.End > sr.Due || sr.Age > sr.Due
	sr.Reason, sr.Via = reasonOf(last, engines)
	if !sr.Late && !last.waiting {
		sr.Reason, sr.Via = sr.wait, ""
	}
}

// reasonOf returns why the deciding item of a step ends when it does, and the engine that is the cause, if any.
func reasonOf(pr prediction, engines map[string]State) (Reason, string) {
	switch {
	case pr.waiting:
		return pr.item.Wait, ""
	case pr.item.Stand == ItemScoring:
		return Scoring, ""
	}
	switch engines[pr.item.Engine] {
	case Slow, Sick:
		return EngineSlow, pr.item.Engine
	case Silent, Gone:
		return AttendantSilent, pr.item.Engine
	default:
		return OwnLength, pr.item.Engine
	}
}

// commonWait returns the most frequent reason of a step's waiting items, or "".
func commonWait(prs []prediction) Reason {
	counts, most := map[Reason]int{}, Reason("")
	for _, pr := range prs {
		if !pr.waiting {
			continue
		}
		wait := pr.item.Wait
		counts[wait]++
		if counts[wait] > counts[most] || counts[wait] == counts[most] && wait < most {
			most = wait
		}
	}
	return most
}

// Add returns the sum of two counts.
func (it Items) Add(other Items) Items {
	return Items{
		Listed: it.Listed + other.Listed, Lost: it.Lost + other.Lost, Running: it.Running + other.Running,
		Scoring: it.Scoring + other.Scoring, Waiting: it.Waiting + other.Waiting, Whole: it.Whole + other.Whole,
	}
}

// customers returns the load of each customer. It includes customers without open steps that had a share in the last
// minute, as they may be why others are late.
func customers(sn Snapshot) []Customer {
	byName, taken := map[string]*Customer{}, 0
	row := func(name string) *Customer {
		cu := byName[name]
		if cu == nil {
			cu = &Customer{Name: name, Share: sn.Shares[name]}
			byName[name] = cu
		}
		return cu
	}
	for name, sh := range sn.Shares {
		if sh.Had > 0 {
			row(name)
		}
	}
	for _, sr := range sn.Steps {
		cu := row(sr.Customer)
		cu.Steps++
		cu.Items = cu.Items.Add(sr.Items)
		cu.Tokens += sr.Tokens
		taken += sr.Items.Running
		if sr.Late {
			cu.Late++
		}
		if sr.Items.Waiting > 0 && sr.Age >= cu.Oldest.Age {
			cu.Oldest = Waiting{Age: sr.Age, Reason: sr.wait, Step: sr.ID}
		}
	}
	for _, re := range sn.Holds {
		if cu := byName[re.Name]; re.Kind == hold.Customer && cu != nil {
			cu.Held = true
		}
	}
	all := []Customer{}
	for _, cu := range byName {
		cu.Part = float64(cu.Items.Running) / float64(max(taken, 1))
		all = append(all, *cu)
	}
	return all
}

func compareSteps(a, b Step) int {
	return cmp.Or(
		compareTrue(a.Late, b.Late),
		cmp.Compare(a.Due-a.Age, b.Due-b.Age),
		cmp.Compare(a.ID, b.ID),
	)
}

func compareCustomers(a, b Customer) int {
	return cmp.Or(
		cmp.Compare(b.Items.Waiting, a.Items.Waiting),
		cmp.Compare(b.Items.Running, a.Items.Running),
		cmp.Compare(a.Name, b.Name),
	)
}

// compareTrue orders true before false.
func compareTrue(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// stateOrder lists the conditions of engines, most serious first.
var stateOrder = []State{Gone, Silent, Sick, Drained, Leaving, Slow, Loading, Serving}

func compareEngines(a, b Engine) int {
	return cmp.Or(
		cmp.Compare(slices.Index(stateOrder, a.State), slices.Index(stateOrder, b.State)),
		cmp.Compare(b.slowdown(), a.slowdown()),
		cmp.Compare(a.ID, b.ID),
	)
}

// slowdown returns the ratio of an engine's pace to the median, or 0 if unknown.
func (en Engine) slowdown() float64 {
	if en.Median == 0 || en.Pace == 0 {
		return 0
	}
	return float64(en.Pace) / float64(en.Median)
}
