// Package standby bounds how many processes of a role stand by for the role's lease, and replaces
// those that leave. The other processes are idle.
//
// Each standby follows the key-value service and the holder, which costs calls; an idle process makes one call to
// the holder every few seconds.
package standby

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"wisteriacroft/broadcast"
	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/tick"
)

const (
	// minStandbys is the least number of standbys, if there are as many processes. More are assigned
	// if there are more failure domains.
	minStandbys = 2
	// reportWait is how long the response to a report waits for a change.
	reportWait = 4 * time.Second
	// absentAfter is how long after its last report a process counts as gone.
	absentAfter = 2 * time.Second
	// settleTime is how long a new holder waits for the standbys of its predecessor before it assigns others.
	settleTime = 2 * time.Second
	// assignInterval is the interval at which the holder assigns standbys.
	assignInterval = 250 * time.Millisecond
)

// A Roster assigns standbys while its process holds the lease. Set the exported fields before use. It is safe for
// concurrent use.
type Roster struct {
	Domain string // failure domain of this process
	// HeldFunc reports whether this process holds the lease.
	HeldFunc func() bool
	Log      *logrus.Entry

	changed   broadcast.Signal
	heldSince time.Time // zero without the lease
	mu        sync.Mutex
	processes map[string]*process // by address
	retiring  map[string]bool     // instances that operators ask to retire
}

// A process is one that reports to the holder.
type process struct {
	Report
	assigned bool // to stand by
	calls    int  // reports that wait for their response
	seenAt   time.Time
}

// present reports whether the process is alive, as far as known.
func (pr *process) present(now time.Time) bool {
	return pr.calls > 0 || now.Sub(pr.seenAt) < absentAfter
}

// Register registers the RPC method for reports.
func (ro *Roster) Register(sv *peer.Server) {
	peer.Handle(sv, reportMethod, func(ctx context.Context, _ message.Header, re Report) (Assignment, error) {
		return ro.report(ctx, re)
	})
}

// Run assigns standbys until ctx ends.
func (ro *Roster) Run(ctx context.Context) {
	(&tick.Loop{Every: assignInterval, Systems: []tick.System{{Name: "assign standbys", Run: ro.update}}}).Run(ctx)
}

// Retire tells an instance to retire, once it reports.
func (ro *Roster) Retire(instance string) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.retiring == nil {
		ro.retiring = map[string]bool{}
	}
	ro.retiring[instance] = true
	ro.changed.Notify()
}

// Successors returns how many processes stand by and would acquire the lease if this process
// released it.
func (ro *Roster) Successors() int {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	now, count := time.Now(), 0
	for _, pr := range ro.processes {
		if pr.assigned && pr.Standing && !pr.Retiring && pr.present(now) {
			count++
		}
	}
	return count
}

// report handles a report: it waits until the process has to do something else.
func (ro *Roster) report(ctx context.Context, re Report) (Assignment, error) {
	end := time.Now().Add(reportWait)
	ro.begin(re)
	defer ro.end(re.Address)
	for {
		changed := ro.changed.Changed()
		if !ro.HeldFunc() {
			return Assignment{}, errNotHolder
		}
		as := ro.assignment(re)
		wait := time.Until(end)
		if as.StandBy != re.Standing || as.Retire || re.Retiring || wait <= 0 {
			return as, nil
		}
		select {
		case <-ctx.Done():
			return as, nil
		case <-changed:
		case <-time.After(wait):
		}
	}
}

// begin records a report. A process that nothing is known of keeps doing what it does.
func (ro *Roster) begin(re Report) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.processes == nil {
		ro.processes = map[string]*process{}
	}
	pr := ro.processes[re.Address]
	if pr == nil {
		pr = &process{assigned: re.Standing}
		ro.processes[re.Address] = pr
	}
	pr.Report = re
	pr.calls++
}

// end records that a report was responded to.
func (ro *Roster) end(address string) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if pr := ro.processes[address]; pr != nil {
		pr.calls--
		pr.seenAt = time.Now()
	}
}

// assignment returns what a process has to do.
func (ro *Roster) assignment(re Report) Assignment {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	pr := ro.processes[re.Address]
	return Assignment{Retire: ro.retiring[re.Instance] && !re.Retiring, StandBy: pr != nil && pr.assigned}
}

// update drops processes that are gone and assigns standbys.
func (ro *Roster) update(now time.Time) {
	held := ro.HeldFunc()
	ro.mu.Lock()
	defer ro.mu.Unlock()
	switch {
	case !held:
		if !ro.heldSince.IsZero() {
			ro.heldSince = time.Time{}
			ro.changed.Notify()
		}
		return
	case ro.heldSince.IsZero():
		ro.heldSince = now
	}
	maps.DeleteFunc(ro.processes, func(_ string, pr *process) bool { return !pr.present(now) })
	if now.Sub(ro.heldSince) >= settleTime {
		ro.assign()
	}
}

// assign assigns one standby in each other failure domain, and others up to minStandbys.
func (ro *Roster) assign() {
	needed := map[string]bool{}
	domains := map[string]bool{ro.Domain: true}
	prs := ro.candidates()
	for _, pr := range prs {
		if !domains[pr.Domain] {
			domains[pr.Domain], needed[pr.Address] = true, true
		}
	}
	for _, pr := range prs {
		if len(needed) >= minStandbys {
			break
		}
		needed[pr.Address] = true
	}
	for address, pr := range ro.processes {
		if pr.assigned == needed[address] {
			continue
		}
		pr.assigned = needed[address]
		ro.Log.WithFields(logrus.Fields{
			"address": address, "assigned": pr.assigned, "domain": pr.Domain, "instance": pr.Instance, "processes": len(ro.processes),
			"retiring": pr.Retiring, "standbys": len(needed),
		}).Info("standby assigned")
		ro.changed.Notify()
	}
}

// candidates returns the processes that may stand by, those that do first.
func (ro *Roster) candidates() []*process {
	var prs []*process
	for _, pr := range ro.processes {
		if !pr.Retiring && !ro.retiring[pr.Instance] {
			prs = append(prs, pr)
		}
	}
	slices.SortFunc(prs, func(a, b *process) int {
		if a.Standing != b.Standing {
			if a.Standing {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Address, b.Address)
	})
	return prs
}
