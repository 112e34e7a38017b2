package scale

import "slices"

// An OverviewRequest requests an Overview.
type OverviewRequest struct{}

// An Overview shows the scaling orders and the demand.
type Overview struct {
	Epoch uint64        `json:"epoch"`
	Lines []OverviewRow `json:"lines"`
}

// An OverviewRow shows the order of a subject.
type OverviewRow struct {
	Subject
	Held    bool `json:"held"` // by an operator
	Max     int  `json:"max"`
	Min     int  `json:"min"`
	Ordered int  `json:"ordered"` // -1 if never
	Serving int  `json:"serving"`
	Taken   bool `json:"taken"`
	Unknown bool `json:"unknown,omitempty"` // its load is unknown, and nothing is ordered
	Wanted  int  `json:"wanted"`            // current demand, without hysteresis
}

// Current returns the last order, or the number of serving endpoints if there is none.
func (ro OverviewRow) Current() int {
	if ro.Ordered < 0 {
		return ro.Serving
	}
	return ro.Ordered
}

// Overview returns the current orders and demand, ordered by subject.
func (sc *Scaler) Overview() (Overview, error) {
	epoch := sc.Tenure.Epoch()
	sc.mu.Lock()
	defer sc.mu.Unlock()
	ov := Overview{Epoch: epoch, Lines: []OverviewRow{}}
	if epoch == 0 && len(sc.services) == 0 {
		return ov, nil
	}
	if epoch == 0 {
		return ov, ErrNotHolder
	}
	ordered := map[Subject]LastOrder{}
	for _, or := range sc.record.Orders {
		ordered[or.Subject] = or
	}
	for _, se := range sc.services {
		var domains []string
		for domain := range se.Domains {
			domains = append(domains, domain)
		}
		held := sc.held(se.Name)
		for domain, wanted := range Spread(se.Desired(), domains, se.Bounds) {
			ro := OverviewRow{
				Held: held, Max: se.Bounds.Max, Min: se.Bounds.Min, Ordered: -1, Serving: se.Domains[domain],
				Subject: Subject{Domain: domain, Service: se.Name}, Unknown: se.Unknown, Wanted: wanted,
			}
			if or, ok := ordered[ro.Subject]; ok {
				ro.Ordered, ro.Taken = or.Target, or.Taken
			}
			if se.Unknown {
				ro.Wanted = ro.Current()
			}
			ov.Lines = append(ov.Lines, ro)
		}
	}
	slices.SortFunc(ov.Lines, func(a, b OverviewRow) int { return compareSubjects(a.Subject, b.Subject) })
	return ov, nil
}
