package capacity

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/keyvalue"
)

// readBudget is the maximum number of reads a second at the key-value service.
const readBudget = 2000

// pipeDialer returns a dial function for an http.Transport.
func pipeDialer(ne *network) func(ctx context.Context, _, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		host, _, _ := strings.Cut(address, ":")
		return ne.dial(ctx, host)
	}
}

// A usage holds the number of calls in each second.
type usage []keyvalue.Calls

// countCalls waits for some seconds and counts the calls in each.
func (fl *fleet) countCalls(seconds int) usage {
	var us usage
	for range seconds {
		before := fl.me.Calls()
		time.Sleep(time.Second)
		after := fl.me.Calls()
		us = append(us, keyvalue.Calls{
			Leases: after.Leases - before.Leases, Reads: after.Reads - before.Reads,
			Watches: after.Watches - before.Watches, Writes: after.Writes - before.Writes,
		})
	}
	return us
}

// mean returns the calls per second, by kind.
func (us usage) mean() string {
	var all keyvalue.Calls
	for _, ca := range us {
		all.Leases += ca.Leases
		all.Reads += ca.Reads
		all.Watches += ca.Watches
		all.Writes += ca.Writes
	}
	per := func(calls int64) float64 { return float64(calls) / float64(len(us)) }
	return fmt.Sprintf("%8.1f %8.1f %8.1f %8.1f", per(all.Reads), per(all.Writes), per(all.Leases), per(all.Watches))
}

// peak returns the maximum number of calls in a second, by kind.
func (us usage) peak() keyvalue.Calls {
	var most keyvalue.Calls
	for _, ca := range us {
		most.Leases = max(most.Leases, ca.Leases)
		most.Reads = max(most.Reads, ca.Reads)
		most.Watches = max(most.Watches, ca.Watches)
		most.Writes = max(most.Writes, ca.Writes)
	}
	return most
}

// TestKeyValueCalls counts the calls of the key-value service each second: while
// all entries start, in a steady state, while a third of the entries is down and
// restarts, and around an outage. The golden table has the steady state. Peaks
// depend on the order of entries, so they are only bounded, and shown with -v.
func TestKeyValueCalls(t *testing.T) {
	// Guards against overload of the key-value service after an outage: all leases
	// have expired, and all entries compete for each of them at once.
	var table strings.Builder
	fmt.Fprintf(&table, "%7s %8s %8s %8s %8s %8s\n", "entries", "services", "reads", "writes", "leases", "watches")
	for _, ca := range []struct{ entries, services int }{{4, 2}, {8, 2}, {16, 2}, {16, 6}, {16, 12}} {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, ca.entries, ca.services)
			check := func(name string, us usage, changes int64) {
				pe := us.peak()
				t.Logf("%2d entries, %2d services, %s: mean %s, peak %+v", ca.entries, ca.services, name, us.mean(), pe)
				assert.Check(t, pe.Reads <= readBudget && pe.Writes+pe.Leases <= changes, "%s: %+v", name, pe)
			}
			for i := range ca.entries {
				fl.start(i, 1)
			}
			fl.pull(context.WithoutCancel(t.Context()))
			check("all start", fl.countCalls(20), 700)
			fl.countCalls(30)
			steady := fl.countCalls(60)
			check("steady", steady, 30)
			fmt.Fprintf(&table, "%7d %8d %s\n", ca.entries, ca.services, steady.mean())
			for i := range ca.entries / 3 {
				fl.abort(i)
			}
			check("a third down", fl.countCalls(30), 60)
			for i := range ca.entries / 3 {
				fl.start(i, 2)
			}
			check("a third restarts", fl.countCalls(20), 60)
			fl.me.SetFaults(keyvalue.Faults{Delay: answerTime, Outage: true})
			check("outage", fl.countCalls(30), 60)
			fl.me.SetFaults(keyvalue.Faults{Delay: answerTime})
			check("outage ends", fl.countCalls(20), 200)
			fl.stop()
		})
	}
	golden.Assert(t, table.String(), "key-value-steady.golden")
}
