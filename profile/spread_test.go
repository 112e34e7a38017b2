package profile

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/keyvalue"
)

// Parameters of the simulated fleet.
const (
	maxTimeToInForce = 19 * time.Second // within which a change must be in force
	heartbeat        = time.Second
	link             = time.Millisecond
	tickEvery        = 100 * time.Millisecond
)

// A fleet consists of entries, which watch the service, and attendants, which
// fetch from the entries of their failure domain.
type fleet struct {
	accepted time.Time
	entries  int
	inForce  []time.Duration // per node, since accepted
	loss     float64
	me       keyvalue.Memory
	messages int
	nodes    []*node
	rnd      *rand.Rand
}

type node struct {
	domain  int
	replica Replica
	name    string
	phase   time.Duration // of its heartbeats
	syncer  Syncer
}

func newFleet(size, entries, domains int, loss float64) *fleet {
	fl := &fleet{entries: entries, loss: loss, rnd: rand.New(rand.NewPCG(1, uint64(size)))}
	for i := range size {
		no := &node{domain: i % domains, name: fmt.Sprint(i)}
		no.phase = time.Duration(fl.rnd.IntN(int(heartbeat/tickEvery))) * tickEvery
		no.syncer = Syncer{
			FetchFunc: fl.fetch,
			Holder:    &no.replica,
			Rand:      rand.New(rand.NewPCG(2, uint64(i))),
		}
		fl.nodes = append(fl.nodes, no)
	}
	return fl
}

func (fl *fleet) fetch(_ context.Context, peer string) (Document, error) {
	time.Sleep(2 * link)
	for _, no := range fl.nodes {
		if no.name == peer {
			return no.replica.Current(), nil
		}
	}
	return Document{}, errors.Newf("no peer %s", peer)
}

// send delivers a message header to a node after the link's delay, unless it is lost.
func (fl *fleet) send(from, to *node) {
	fl.messages++
	if fl.rnd.Float64() < fl.loss {
		return
	}
	revision := from.replica.Revision()
	time.AfterFunc(link, func() { to.syncer.Observe(from.name, revision) })
}

// sendHeartbeats sends a node's heartbeat to the entries of its failure domain, or
// to all other entries if it is an entry; each heartbeat is answered.
func (fl *fleet) sendHeartbeats(i int) {
	no := fl.nodes[i]
	for j, entry := range fl.nodes[:fl.entries] {
		if j != i && (i < fl.entries || entry.domain == no.domain) {
			fl.send(no, entry)
			fl.send(entry, no)
		}
	}
}

// run simulates the fleet for a time and records when each node has a revision.
func (fl *fleet) run(du time.Duration, revision uint64) {
	fl.inForce = make([]time.Duration, len(fl.nodes))
	for range du / tickEvery {
		time.Sleep(tickEvery)
		synctest.Wait()
		now := time.Now()
		for i, no := range fl.nodes {
			if fl.inForce[i] == 0 && no.replica.Revision() >= revision {
				fl.inForce[i] = no.replica.Status().TakenAt.Sub(fl.accepted)
			}
			no.syncer.Run(now)
			if time.Duration(now.UnixNano())%heartbeat == no.phase {
				fl.sendHeartbeats(i)
			}
		}
	}
}

// follow starts the entries' followers. silent is the number of entries, from the
// first, whose watches never return.
func (fl *fleet) follow(ctx context.Context, silent int) {
	for i, no := range fl.nodes[:fl.entries] {
		cl := fl.me.Client()
		if i < silent {
			cl.WatchFunc = func(ctx context.Context, _ string, _ int64) (keyvalue.Item, error) {
				<-ctx.Done()
				return keyvalue.Item{}, ctx.Err()
			}
		}
		fo := Follower{Holder: &no.replica, Rand: rand.New(rand.NewPCG(3, uint64(i))), Store: &Store{Client: cl}}
		go fo.Run(ctx)
	}
}

// total returns the number of calls to the service.
func total(ca keyvalue.Calls) int64 { return ca.Reads + ca.Watches + ca.Writes }

// TestTimeToInForce checks that a change reaches every node in time although
// watches hang, the service is slow, messages are lost or an outage follows. The
// golden table also holds the calls to the key-value service in the 30 s before
// and after the change, and the fetches and messages between nodes after it.
func TestTimeToInForce(t *testing.T) {
	scenarios := []struct {
		name   string
		silent int // entries whose watch never returns; -1 for all
		faults keyvalue.Faults
		loss   float64
	}{
		{name: "no fault"},
		{name: "one watch hangs", silent: 1},
		{name: "all watches hang", silent: -1},
		{name: "service takes 2s a call", faults: keyvalue.Faults{Delay: 2 * time.Second}},
		{name: "1 message in 5 lost, half the watches hang", silent: 8, loss: 0.2},
		{name: "outage at once, all but one watch hang", silent: 15, faults: keyvalue.Faults{Outage: true}},
	}
	var table strings.Builder
	fmt.Fprintf(&table, "%-46s %6s %8s %8s %8s %8s %10s %9s %9s\n", "scenario", "nodes", "p50", "p99", "max", "fetches", "messages/s", "kv-before", "kv-after")
	row := func(name string, size, entries, domains, silent int, faults keyvalue.Faults, loss float64) {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(size, entries, domains, loss)
			ctx, cancel := context.WithCancel(t.Context())
			if silent < 0 {
				silent = entries
			}
			fl.follow(ctx, silent)
			op := operator{store: Store{Client: fl.me.Client()}, wanted: []Profile{plainService(t, "a", "1s")}}
			fl.run(30*time.Second, 1)
			before := fl.me.Calls()
			fl.me.SetFaults(keyvalue.Faults{Delay: faults.Delay})
			_, err := op.apply(t.Context(), "one")
			assert.NilError(t, err)
			fl.accepted = time.Now()
			synctest.Wait() // pending watches return
			fl.me.SetFaults(faults)
			fl.messages = 0
			fl.run(30*time.Second, 1)
			after := fl.me.Calls()
			cancel()
			slices.Sort(fl.inForce)
			assert.Assert(t, fl.inForce[0] >= 0 && fl.nodes[size-1].replica.Revision() == 1)
			var fetches int64
			for _, no := range fl.nodes {
				assert.Equal(t, no.replica.Revision(), uint64(1))
				fetches += no.syncer.Fetches()
			}
			most := fl.inForce[size-1]
			assert.Assert(t, most < maxTimeToInForce, "%s", most)
			fmt.Fprintf(&table, "%-46s %6d %8s %8s %8s %8d %10d %9d %9d\n", name, size, fl.inForce[size/2], fl.inForce[size*99/100], most,
				fetches, fl.messages/30, total(before), total(after)-total(before))
			time.Sleep(time.Minute)
		})
	}
	for _, sc := range scenarios {
		row(sc.name, 380, 16, 9, sc.silent, sc.faults, sc.loss)
	}
	for _, size := range []int{10, 100, 380} {
		row("fleet size, no fault", size, max(3, size*16/380), 3, 0, keyvalue.Faults{}, 0)
	}
	golden.Assert(t, table.String(), "time-to-in-force.golden")
}
