package scale

import "slices"

// An OverviewRequest asks how orders for endpoints stand.
type OverviewRequest struct{}

// An Overview is how orders for endpoints stand, and what they would be.
type Overview struct {
	Epoch uint64        `json:"epoch"`
	Lines []OverviewRow `json:"lines"`
}

// An OverviewRow is how a subject stands.
type OverviewRow struct {
	Subject
	Held    bool `json:"held"` // by an operator
	Max     int  `json:"max"`
	Min     int  `json:"min"`
	Ordered int  `json:"ordered"` // -1 if never
	Serving int  `json:"serving"`
	Taken   bool `json:"taken"`
	Unknown bool `json:"unknown,omitempty"` // too few entries tell of its load: nothing is ordered
	Wanted  int  `json:"wanted"`            // by the open work alone, in this failure domain
}

// Current returns how many endpoints were ordered last, or serve if none ever were.
func (li OverviewRow) Current() int {
	if li.Ordered < 0 {
		return li.Serving
	}
	return li.Ordered
}

// Overview returns how orders stand. It orders nothing.
func (ho *Scaler) Overview() (Overview, error) {
	epoch := ho.Tenure.Epoch()
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ov := Overview{Epoch: epoch, Lines: []OverviewRow{}}
	if epoch == 0 && len(ho.services) == 0 {
		return ov, nil
	}
	if epoch == 0 {
		return ov, ErrNotHolder
	}
	ordered := map[Subject]LastOrder{}
	for _, or := range ho.record.Orders {
		ordered[or.Subject] = or
	}
	for _, se := range ho.services {
		var domains []string
		for domain := range se.Domains {
			domains = append(domains, domain)
		}
		held := ho.held(se.Name)
		for domain, wanted := range Spread(se.Desired(), domains, se.Bounds) {
			li := OverviewRow{
				Held: held, Max: se.Bounds.Max, Min: se.Bounds.Min, Ordered: -1, Serving: se.Domains[domain],
				Subject: Subject{Domain: domain, Service: se.Name}, Unknown: se.Unknown, Wanted: wanted,
			}
			if or, ok := ordered[li.Subject]; ok {
				li.Ordered, li.Taken = or.Target, or.Taken
			}
			if se.Unknown {
				li.Wanted = li.Current()
			}
			ov.Lines = append(ov.Lines, li)
		}
	}
	slices.SortFunc(ov.Lines, func(a, b OverviewRow) int { return compareSubjects(a.Subject, b.Subject) })
	return ov, nil
}
