package capacity

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"time"

	"wisteriacroft/keyvalue"
)

// A phase is what the processes of a control plane did during some time.
type phase struct {
	duration  time.Duration
	name      string
	processor map[string]time.Duration // by role
	shares    map[string]share         // by role
	heap      uint64                   // bytes of all processes together, at the end
}

// A share is what the processes of one role did together.
type share struct {
	calls     keyvalue.Calls
	processes int
	traffic   traffic
}

// A reading holds the counters of all nodes, in the order of controlPlane.nodes.
type reading struct {
	calls    []keyvalue.Calls
	traffics []traffic
}

// read reads the counters of all nodes.
func (cp *controlPlane) read() reading {
	var re reading
	for _, no := range cp.nodes() {
		re.calls = append(re.calls, no.storeCalls())
		re.traffics = append(re.traffics, no.meter.read())
	}
	return re
}

// measure runs a function and returns what the processes did meanwhile. Without a profiler it leaves
// the processor times out.
func (cp *controlPlane) measure(pr *profiler, name string, run func()) phase {
	before, begun := cp.read(), time.Now()
	if pr != nil {
		pr.start()
	}
	run()
	ph := phase{duration: time.Since(begun), name: name, processor: map[string]time.Duration{}, shares: map[string]share{}}
	atWork := cp.atWork()
	if pr != nil {
		for process, used := range pr.stop() {
			ph.processor[cp.roleOf(process, atWork)] += used
		}
	}
	after := cp.read()
	for i, no := range cp.nodes() {
		role := cp.roleOf(no.name, atWork)
		sh := ph.shares[role]
		sh.processes++
		sh.traffic = sh.traffic.add(after.traffics[i].since(before.traffics[i]))
		sh.calls = addCalls(sh.calls, after.calls[i], before.calls[i])
		ph.shares[role] = sh
	}
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	ph.heap = ms.HeapAlloc
	return ph
}

// addCalls adds to calls those between two counts.
func addCalls(calls, after, before keyvalue.Calls) keyvalue.Calls {
	calls.Leases += after.Leases - before.Leases
	calls.Reads += after.Reads - before.Reads
	calls.Watches += after.Watches - before.Watches
	calls.Writes += after.Writes - before.Writes
	return calls
}

// paidCalls returns the number of calls as the platform charges them: renewals and stale reads are a
// tenth of a call.
func paidCalls(ca keyvalue.Calls) float64 {
	return float64(ca.Reads+ca.Watches+ca.Writes) + float64(ca.Leases)/10
}

// header is the first line of a table of phases.
const header = "engines  phase        role        processes  ms/s    messages/s  KB/s      connections  calls/s\n"

// rows returns the phase as rows of a table, one for each role, per second and for all its processes.
func (ph phase) rows(engines int) string {
	var sb strings.Builder
	seconds := ph.duration.Seconds()
	for _, role := range []string{schedulerRole, standbyRole, entryRole, attendantRole} {
		sh := ph.shares[role]
		fmt.Fprintf(&sb, "%-8d %-12s %-11s %-10d %-7.0f %-11.0f %-9.0f %-12d %.1f\n", engines, ph.name, role, sh.processes,
			ph.processor[role].Seconds()*1000/seconds, float64(sh.traffic.messages)/seconds,
			float64(sh.traffic.sent)/1000/seconds, sh.traffic.conns, paidCalls(sh.calls)/seconds)
	}
	return sb.String()
}

// waitUntil waits until a condition holds and returns how long that took. It gives up after a minute.
func waitUntil(holds func() bool) time.Duration {
	begun := time.Now()
	for !holds() && time.Since(begun) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begun)
}

// allFollow reports whether all running followers know a configuration.
func (cp *controlPlane) allFollow(version int64) bool {
	return !slices.ContainsFunc(cp.entries, func(en *entryNode) bool {
		co := en.follower.Directory.Configuration()
		return co == nil || co.Version < version
	})
}

// allKnow reports whether all entries know a number of endpoints that are not leaving.
func (cp *controlPlane) allKnow(endpoints int) bool {
	return !slices.ContainsFunc(cp.entries, func(en *entryNode) bool {
		count := 0
		for _, endpoint := range en.follower.Directory.Endpoints("") {
			if !endpoint.Leaving {
				count++
			}
		}
		return count != endpoints
	})
}

// allHear reports whether all attendants were called in an epoch after the given one.
func (cp *controlPlane) allHear(epoch uint64) bool {
	return !slices.ContainsFunc(cp.attendants, func(an *attendantNode) bool { return an.runner.LastContact().Epoch <= epoch })
}
