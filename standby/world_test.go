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
