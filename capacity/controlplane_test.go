package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"wisteriacroft/directory"
	"wisteriacroft/keyvalue"
	"wisteriacroft/lease"
	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/quarantine"
	"wisteriacroft/runner"
	"wisteriacroft/step"
)

// Sizes of a control plane, for each engine, and its settings.
const (
	peerPort        = 7400
	schedulerCount  = 5
	modelCount      = 6
	engineSlots     = 6
	enginesPerEntry = 1.5
	joinTime        = 3 * time.Second // within which all endpoints register
	schedulerTTL    = 2 * time.Second // of the scheduler's lease
	configKey       = "op/config"
	endpointPrefix  = "servers/"
	versionPrefix   = "op/version/"
	engineService   = "marker-llm"
)

// Names of roles in tables.
const (
	attendantRole = "attendant"
	entryRole     = "entry"
	schedulerRole = "scheduler" // at work
	standbyRole   = "standby"
	storeRole     = "store"
)

// A node is one process of a control plane.
type node struct {
	address string
	cancel  context.CancelFunc
	ctx     context.Context //nolint:containedctx // the lifetime of the process
	meter   meter
	name    string // for the profiler: the role, or for a scheduler its own name
	pool    *peer.Pool
	server  *http.Server

	muted    atomic.Bool // the node's messages are lost
	rejected atomic.Bool // the key-value service rejects the node's calls
	// processor is what all messages and calls of the node share; nil stands for one that takes no time.
	processor *processor

	mu    sync.Mutex
	calls keyvalue.Calls // to the key-value service
	conns []net.Conn
}

// A schedulerNode is the process of a scheduler.
type schedulerNode struct {
	*node
	follower  *directory.Follower
	scheduler *step.Scheduler
}

// An entryNode is the process of an entry.
type entryNode struct {
	*node
	follower *directory.Follower
	frontend *step.Frontend
}

// An attendantNode is the process of an attendant, with its engine.
type attendantNode struct {
	*node
	engine *simulatedEngine
	id     string
	runner *runner.Runner
}

// A controlPlane is one deployment: schedulers, entries, attendants and engines around one
// key-value service, which use the real code over pipes. Entries serve no live requests.
type controlPlane struct {
	attendants []*attendantNode
	entries    []*entryNode
	me         keyvalue.Memory
	network    network
	schedulers []*schedulerNode
	work       sync.WaitGroup
}

// newControlPlane returns a control plane of which nothing runs, with a configuration in force.
func newControlPlane(tb testing.TB, engines int) *controlPlane {
	cp := &controlPlane{}
	cp.configure(tb, 1)
	for i := range schedulerCount {
		cp.schedulers = append(cp.schedulers, cp.newScheduler(i))
	}
	for i := range int(float64(engines)/enginesPerEntry) + 1 {
		cp.entries = append(cp.entries, cp.newEntry(i))
	}
	for i := range engines {
		cp.attendants = append(cp.attendants, cp.newAttendant(i))
	}
	cp.me.SetFaults(keyvalue.Faults{Delay: 4 * time.Millisecond})
	return cp
}

// hostAddress returns the peer address of the i-th host of a kind.
func hostAddress(kind, i int) string {
	return fmt.Sprintf("10.%d.%d.%d:%d", kind, i/250, 1+i%250, peerPort)
}

// newNode returns a node that does not serve yet.
func (cp *controlPlane) newNode(name, address string) *node {
	no := &node{address: address, name: name}
	no.ctx, no.cancel = context.WithCancel(context.Background())
	no.pool = &peer.Pool{
		Codes: append(step.Codes(), peer.Code{Err: directory.ErrNotFeeder, Name: "not-feeder"},
			peer.Code{Err: directory.ErrOldState, Name: "old-endpoints"}),
		DialFunc: func(ctx context.Context, address string) (net.Conn, error) {
			co, err := cp.network.dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return no.track(co), nil
		},
		DialTimeout: 500 * time.Millisecond, SilenceTimeout: 1200 * time.Millisecond,
	}
	return no
}

// track returns a metered connection that ends with the node.
func (no *node) track(co net.Conn) net.Conn {
	if no.processor != nil {
		co = relay(co)
	}
	mc := newMeteredConn(co, no)
	no.mu.Lock()
	defer no.mu.Unlock()
	no.conns = append(no.conns, mc)
	return mc
}

// serve serves a node's methods until it is killed.
func (no *node) serve(cp *controlPlane, sv *peer.Server) {
	sv.Codes = no.pool.Codes
	no.server = &http.Server{Handler: sv, ConnContext: func(ctx context.Context, _ net.Conn) context.Context { return ctx }}
	li := &nodeListener{listener: cp.network.listen(no.address), node: no}
	cp.work.Go(func() { runAs(no.name, func() { _ = no.server.Serve(li) }) })
}

// A nodeListener accepts the connections of a node.
type nodeListener struct {
	*listener
	node *node
}

// Accept implements net.Listener.
func (nl *nodeListener) Accept() (net.Conn, error) {
	co, err := nl.listener.Accept()
	if err != nil {
		return nil, err
	}
	return nl.node.track(co), nil
}

// background runs a function of a node until the node is killed.
func (no *node) background(cp *controlPlane, fn func(ctx context.Context)) {
	cp.work.Go(func() { runAs(no.name, func() { fn(no.ctx) }) })
}

// kill ends a node abruptly. Its connections break.
func (no *node) kill() {
	no.cancel()
	if no.server != nil {
		no.server.Close()
	}
	no.pool.Close()
	no.mu.Lock()
	conns := no.conns
	no.conns = nil
	no.mu.Unlock()
	for _, co := range conns {
		co.Close()
	}
}

// log returns a log that is formatted and discarded.
func (no *node) log() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetFormatter(&logrus.JSONFormatter{})
	return logrus.NewEntry(logger)
}

// newScheduler returns the i-th scheduler.
func (cp *controlPlane) newScheduler(i int) *schedulerNode {
	no := cp.newNode(fmt.Sprint(schedulerRole, "-", i), hostAddress(1, i))
	client, log := no.storeClient(&cp.me), no.log()
	di, qu := &directory.Directory{}, &quarantine.Table{}
	sc := &step.Scheduler{
		Directory: di,
		Holder: &lease.Holder{
			Client: client, Follow: true, Log: log, Name: step.LeaseName, Owner: no.address, ProbeEvery: 100 * time.Millisecond,
			TTL: schedulerTTL,
		},
		Keep: 2 * time.Minute, Keeper: &step.Store{Client: client}, Log: log, Metrics: metrics.NewSet(), PeerPort: peerPort,
		Pool: no.pool,
	}
	sc.Holder.SuspectFunc = sc.IsDead
	fo := no.follower(client, di, sc.IsLeader)
	fo.Address, fo.HolderFunc, fo.Patience, fo.Quarantine = no.address, sc.Holder.OtherHolder, 300*time.Millisecond, qu
	return &schedulerNode{node: no, follower: fo, scheduler: sc}
}

// follower returns the follower of a node.
func (no *node) follower(client *keyvalue.Client, di *directory.Directory, directFunc func() bool) *directory.Follower {
	return &directory.Follower{
		Client: client, DirectFunc: directFunc, Directory: di, Feeder: &lease.Resolver{Client: client, Log: no.log(), Name: step.LeaseName},
		Log: no.log(), Name: no.address, Patience: 1200 * time.Millisecond, Pool: no.pool, Source: controlPlaneSchema(),
	}
}

// start starts a scheduler.
func (sn *schedulerNode) start(cp *controlPlane) {
	var sv peer.Server
	sn.scheduler.Register(&sv)
	directory.RegisterFeed(&sv, sn.follower, sn.name)
	sn.serve(cp, &sv)
	sn.background(cp, sn.scheduler.Run)
	sn.background(cp, sn.follower.Run)
}

// newEntry returns the i-th entry.
func (cp *controlPlane) newEntry(i int) *entryNode {
	no := cp.newNode(entryRole, hostAddress(2, i))
	client, di := no.storeClient(&cp.me), &directory.Directory{}
	fo := no.follower(client, di, func() bool { return false })
	fr := &step.Frontend{
		CutOffFunc: func() bool { return di.CutOff(time.Now()) }, Keeper: &step.Store{Client: client}, Log: no.log(), Pool: no.pool,
		Scheduler: fo.Feeder,
	}
	return &entryNode{node: no, follower: fo, frontend: fr}
}

// start starts an entry.
func (en *entryNode) start(cp *controlPlane) { en.background(cp, en.follower.Run) }

// newAttendant returns the i-th attendant and its engine.
func (cp *controlPlane) newAttendant(i int) *attendantNode {
	no := cp.newNode(attendantRole, hostAddress(3, i))
	en := newSimulatedEngine()
	rn := &runner.Runner{Engine: en.engine(), Log: no.log(), Metrics: metrics.NewSet()}
	return &attendantNode{node: no, engine: en, id: fmt.Sprintf("engine-%04d", i), runner: rn}
}

// start starts an attendant and registers its engine.
func (an *attendantNode) start(cp *controlPlane, tb testing.TB) {
	var sv peer.Server
	peer.Handle(&sv, runner.ExchangeMethod,
		func(ctx context.Context, _ message.Header, rq runner.ExchangeRequest) (runner.ExchangeResponse, error) {
			return an.runner.Exchange(ctx, rq)
		})
	peer.Handle(&sv, runner.LastContactMethod,
		func(context.Context, message.Header, step.Empty) (runner.LastContactResponse, error) {
			return an.runner.LastContact(), nil
		})
	an.serve(cp, &sv)
	an.background(cp, an.runner.Run)
	cp.register(tb, an, false)
}

// register writes the entry of an attendant's engine.
func (cp *controlPlane) register(tb testing.TB, an *attendantNode, leaving bool) {
	en := directory.Endpoint{
		Address: an.address, Domain: "fd", ID: an.id, Leaving: leaving, Service: engineService, Slots: engineSlots,
		Models: an.engine.models(),
	}
	cp.write(tb, endpointPrefix+an.id, en)
}

// unregister deletes the entry of an attendant's engine.
func (cp *controlPlane) unregister(tb testing.TB, an *attendantNode) {
	it, err := cp.me.Client().Get(context.Background(), endpointPrefix+an.id)
	assert.NilError(tb, err)
	assert.NilError(tb, cp.me.Client().Delete(context.Background(), it.Key, it.Version))
}

// configure puts a configuration in force.
func (cp *controlPlane) configure(tb testing.TB, version int64) {
	co := directory.Configuration{Version: version, Services: []directory.Service{{Name: engineService, Slots: engineSlots, Tokens: 27_654}}}
	for i := range modelCount {
		co.Services[0].Models = append(co.Services[0].Models, directory.Model{Name: modelName(i)})
	}
	cp.write(tb, configKey, co)
}

// nameVersion announces a version of a model.
func (cp *controlPlane) nameVersion(tb testing.TB, model int, version uint64) {
	cp.write(tb, versionPrefix+modelName(model), directory.ModelVersion{Model: modelName(model), Version: version})
}

// write writes a value to the key-value service.
func (cp *controlPlane) write(tb testing.TB, key string, value any) {
	data, err := json.Marshal(value)
	assert.NilError(tb, err)
	it, _ := cp.me.Client().Get(context.Background(), key)
	_, err = cp.me.Client().Put(context.Background(), key, data, it.Version, 0)
	assert.NilError(tb, err)
}

func modelName(i int) string { return fmt.Sprint("model-", i) }

// controlPlaneSchema returns the keys of the control plane's directory, whose values are JSON.
func controlPlaneSchema() directory.Schema {
	return directory.Schema{
		ConfigurationKey: configKey, EndpointPrefix: endpointPrefix, OperatorPrefix: "op/", VersionPrefix: versionPrefix,
		DecodeConfigurationFunc: func(value []byte) (*directory.Configuration, error) {
			co := &directory.Configuration{}
			return co, json.Unmarshal(value, co)
		},
		DecodeEndpointFunc: func(_ string, value []byte) (directory.Endpoint, error) {
			var en directory.Endpoint
			return en, json.Unmarshal(value, &en)
		},
		DecodeVersionFunc: func(value []byte) (string, uint64, error) {
			var mv directory.ModelVersion
			err := json.Unmarshal(value, &mv)
			return mv.Model, mv.Version, err
		},
	}
}

// startAll starts all processes at once, while the engines register within joinTime.
func (cp *controlPlane) startAll(tb testing.TB) {
	for _, sn := range cp.schedulers {
		sn.start(cp)
	}
	for _, en := range cp.entries {
		en.start(cp)
	}
	pause := joinTime / time.Duration(len(cp.attendants))
	for _, an := range cp.attendants {
		an.start(cp, tb)
		time.Sleep(pause)
	}
}

// settledControlPlane runs a function in a bubble with a control plane that has started.
func settledControlPlane(t *testing.T, engines int, fn func(cp *controlPlane)) {
	bubble(t, func() {
		cp := newControlPlane(t, engines)
		defer cp.stop()
		cp.startAll(t)
		waitUntil(func() bool { return cp.allKnow(engines) })
		time.Sleep(2 * time.Second)
		fn(cp)
	})
}

// stop ends all processes and waits for the last of their calls.
func (cp *controlPlane) stop() {
	for _, no := range cp.nodes() {
		no.kill()
	}
	cp.work.Wait()
	time.Sleep(time.Minute)
}

// nodes returns all processes.
func (cp *controlPlane) nodes() []*node {
	var nos []*node
	for _, sn := range cp.schedulers {
		nos = append(nos, sn.node)
	}
	for _, en := range cp.entries {
		nos = append(nos, en.node)
	}
	for _, an := range cp.attendants {
		nos = append(nos, an.node)
	}
	return nos
}

// atWork returns the scheduler in a term, or nil.
func (cp *controlPlane) atWork() *schedulerNode {
	for _, sn := range cp.schedulers {
		if sn.ctx.Err() == nil && sn.scheduler.IsLeader() {
			return sn
		}
	}
	return nil
}

// roleOf returns the role of a process: schedulers differ by whether they are at work.
func (cp *controlPlane) roleOf(name string, atWork *schedulerNode) string {
	switch {
	case atWork != nil && name == atWork.name:
		return schedulerRole
	case name == entryRole, name == attendantRole, name == storeRole, name == "":
		return name
	default:
		return standbyRole
	}
}
