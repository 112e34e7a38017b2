package standby

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
	"wisteriacroft/peer"
)

const (
	leaseName = "scheduler"
	leaseTTL  = 2 * time.Second
	// takeoverTime bounds a change of holder after the processes that stood by were lost with it.
	takeoverTime = 12 * time.Second
)

// A world is the processes of a role, connected over net.Pipe.
type world struct {
	*testing.T
	memory keyvalue.Memory
	mu     sync.Mutex
	nodes  map[string]*node // by address
}

// A node is a process on an instance of its own.
type node struct {
	cancel  context.CancelFunc
	holder  *lease.Holder
	member  *Member
	pool    *peer.Pool
	retired atomic.Bool
	roster  *Roster
	server  *peer.Server
}

// test runs a test in a bubble with processes in the given failure domains.
func test(t *testing.T, fn func(wo *world), domains ...string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		wo := &world{T: t, nodes: map[string]*node{}}
		for i, domain := range domains {
			wo.start(fmt.Sprint("n", i+1), domain)
		}
		defer func() {
			for address := range wo.nodes {
				wo.kill(address)
			}
			time.Sleep(2 * reportWait) // the calls that wait at killed processes end
		}()
		fn(wo)
	})
}

// start starts a process. Its address is that of its instance, too.
func (wo *world) start(address, domain string) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	no := &node{
		holder: &lease.Holder{Client: wo.memory.Client(), Follow: true, Name: leaseName, Owner: address, TTL: leaseTTL},
		server: &peer.Server{Codes: Codes()},
	}
	held := func() bool { _, held := no.holder.Held(time.Now()); return held }
	no.pool = &peer.Pool{Codes: Codes(), DialFunc: wo.dial}
	no.roster = &Roster{Domain: domain, HeldFunc: held, Log: log}
	no.roster.Register(no.server)
	no.member = &Member{
		Address: address, Domain: domain, Instance: address,
		Lease: Lease{
			AbstainFunc: no.holder.Abstain, HeldFunc: held, OtherFunc: no.holder.OtherHolder, ReleaseFunc: no.holder.Release,
			LookupFunc: func(ctx context.Context) (string, error) {
				rec, err := lease.Current(ctx, wo.memory.Client(), leaseName)
				return rec.Owner, err
			},
		},
		Log: log, Pool: no.pool, RetireFunc: func() { go wo.retire(address) }, Tasks: []func(context.Context){no.holder.Run, no.roster.Run},
	}
	ctx, cancel := context.WithCancel(wo.Context())
	no.cancel = cancel
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.nodes[address] = no
	go no.member.Run(ctx)
}

// dial connects to a process, if it lives.
func (wo *world) dial(ctx context.Context, address string) (net.Conn, error) {
	no := wo.node(address)
	if no == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			_, _ = io.WriteString(far, "HTTP/1.0 200 Connected\n\n")
			no.server.ServeConn(context.WithoutCancel(ctx), far)
		}
	}()
	return near, nil
}

// node returns a process that lives, or nil.
func (wo *world) node(address string) *node {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return wo.nodes[address]
}

// kill ends a process at once, without a release.
func (wo *world) kill(address string) {
	no := wo.node(address)
	wo.mu.Lock()
	delete(wo.nodes, address)
	wo.mu.Unlock()
	no.cancel()
	no.pool.Close()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = no.server.Shutdown(ended)
}

// retire asks a process to retire, and waits until it has.
func (wo *world) retire(address string) {
	no := wo.node(address)
	if (&Retirement{Member: no.member, Roster: no.roster}).Run(wo.Context()) {
		no.retired.Store(true)
	}
}

// holders returns the addresses of the processes that hold the lease.
func (wo *world) holders() (addresses []string) {
	for address, no := range wo.nodes {
		if no.member.Lease.HeldFunc() {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// standing returns how many processes are not idle.
func (wo *world) standing() (count int) {
	for _, no := range wo.nodes {
		if !no.member.Idle() {
			count++
		}
	}
	return count
}

// Failure: added processes follow the key-value service at full price, though none of them is needed.
func TestSurplusIsIdle(t *testing.T) {
	calls := func(domains ...string) (count int64) {
		test(t, func(wo *world) {
			time.Sleep(10 * time.Second)
			assert.Equal(t, wo.standing(), 3)
			before := wo.memory.Calls()
			time.Sleep(time.Minute)
			after := wo.memory.Calls()
			count = after.Reads + after.Watches + after.Writes - before.Reads - before.Watches - before.Writes
			assert.Equal(t, wo.standing(), 3)
			covered := map[string]bool{}
			for _, no := range wo.nodes {
				if !no.member.Idle() {
					covered[no.member.Domain] = true
				}
			}
			assert.Equal(t, len(covered), 3, "one in each failure domain")
		}, domains...)
		return count
	}
	few := calls("a", "b", "c")
	many := calls("a", "a", "a", "a", "b", "b", "b", "b", "c", "c", "c", "c")
	assert.Assert(t, many <= few+1, "%d calls, %d without idle processes", many, few)
}

// Failure: the holder and all standbys are lost together, and the idle processes stay idle.
func TestIdleTakesOver(t *testing.T) {
	test(t, func(wo *world) {
		time.Sleep(10 * time.Second)
		for address, no := range wo.nodes {
			if !no.member.Idle() {
				wo.kill(address)
			}
		}
		time.Sleep(takeoverTime)
		assert.Equal(t, len(wo.holders()), 1)
	}, "a", "a", "a", "b", "b", "b")
}

// Failure: a standby is lost, and the next loss of the holder finds no other.
func TestStandbyIsReplaced(t *testing.T) {
	test(t, func(wo *world) {
		time.Sleep(10 * time.Second)
		for address, no := range wo.nodes {
			if !no.member.Idle() && !no.member.Lease.HeldFunc() {
				wo.kill(address)
			}
		}
		time.Sleep(reportWait + absentAfter + time.Second) // the killed ones' reports still wait
		assert.Equal(t, wo.standing(), 3)
	}, "a", "a", "b", "b", "c", "c")
}

// Failure: the last process retires, and none is left.
func TestRetireWithoutSuccessor(t *testing.T) {
	test(t, func(wo *world) {
		time.Sleep(time.Second)
		go wo.retire("n1")
		time.Sleep(time.Minute)
		assert.Assert(t, !wo.nodes["n1"].retired.Load())
		assert.DeepEqual(t, wo.holders(), []string{"n1"})
		wo.start("n2", "a")
		time.Sleep(2 * time.Second)
		assert.Assert(t, wo.nodes["n1"].retired.Load())
		assert.DeepEqual(t, wo.holders(), []string{"n2"})
	}, "a")
}

// Failure: all processes are asked to retire at the same time, each finds another one standing by, and all leave.
func TestRetireTogether(t *testing.T) {
	for count := 2; count <= 5; count++ {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			domains := []string{"a", "b", "c", "a", "b"}[:count]
			test(t, func(wo *world) {
				time.Sleep(10 * time.Second)
				for address := range wo.nodes {
					go wo.retire(address)
				}
				time.Sleep(time.Minute)
				var left []string
				for address, no := range wo.nodes {
					if !no.retired.Load() {
						left = append(left, address)
					}
				}
				assert.DeepEqual(t, wo.holders(), left)
				assert.Equal(t, len(left), 1)
				wo.start("next", "c")
				time.Sleep(2 * time.Second)
				assert.DeepEqual(t, wo.holders(), []string{"next"})
				assert.Assert(t, wo.nodes[left[0]].retired.Load())
			}, domains...)
		})
	}
}

// Failure: planned replacement of all instances, one after the other, is held up or leaves no holder.
func TestReplaceAll(t *testing.T) {
	test(t, func(wo *world) {
		for i, domain := range []string{"a", "b", "c"} {
			wo.start(fmt.Sprint("added", i+1), domain)
		}
		time.Sleep(6 * time.Second)
		for i := range 3 {
			address := fmt.Sprint("n", i+1)
			go wo.retire(address)
			time.Sleep(time.Second)
			assert.Assert(t, wo.nodes[address].retired.Load(), address)
			wo.kill(address)
			time.Sleep(4 * time.Second)
			assert.Equal(t, len(wo.holders()), 1)
			assert.Equal(t, wo.standing(), 3)
		}
	}, "a", "b", "c")
}

// Failure: an idle process, which doesn't follow the operator's keys, is never told to retire.
func TestHolderTellsIdleToRetire(t *testing.T) {
	test(t, func(wo *world) {
		time.Sleep(10 * time.Second)
		holder := wo.nodes[wo.holders()[0]]
		for address, no := range wo.nodes {
			if no.member.Idle() {
				holder.roster.Retire(address)
				time.Sleep(time.Second)
				assert.Assert(t, no.retired.Load())
			}
		}
	}, "a", "b", "c", "a", "b")
}

// Failure: in an outage of the key-value service idle processes begin to call it, and add to its load.
func TestIdleInOutage(t *testing.T) {
	test(t, func(wo *world) {
		time.Sleep(10 * time.Second)
		wo.memory.SetFaults(keyvalue.Faults{Outage: true})
		time.Sleep(8 * time.Second)
		assert.Equal(t, wo.standing(), 3)
		wo.memory.SetFaults(keyvalue.Faults{})
		time.Sleep(takeoverTime)
		assert.Equal(t, len(wo.holders()), 1)
		assert.Equal(t, wo.standing(), 3)
	}, "a", "a", "b", "b", "c", "c")
}
