package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/directory"
	"wisteriacroft/incarnation"
	"wisteriacroft/platform/standin"
)

// Names and sizes of the deployment.
const (
	plainService       = "desk"
	engineService      = "engines"
	host               = "soak.example"
	model              = "model"
	peerPort           = 7300
	enginePort         = 8000
	schedulers         = 3
	plainEndpointCount = 3
	slots              = 8
	heartbeat          = time.Second
	maxOrdered         = 50  // engines; orders add or remove none
	domain             = "a" // failure domain of all
)

// A world is the programs under test and all systems around them.
type world struct {
	usageServer    *standin.UsageServer
	plainEndpoints []*standin.PlainEndpoint
	engines        []*standin.Engine
	configMu       sync.Mutex // held while a configuration is written
	keys           *keys
	parts          *parts
	programs       []*program
	proxies        []*proxy // before engines and plain endpoints, with injected faults
	partProxies    []*proxy // before the endpoints of optional parts
	servers        []*http.Server
	store          *standin.Store
	subnet         string

	cancel       context.CancelFunc
	engineEnds   atomic.Int64 // under crashItem
	heartbeats   sync.WaitGroup
	unregistered sync.Map // ids of endpoints that don't register
}

// ip returns the loopback address of an instance. Each has its own, since all use
// the same ports.
func (wo *world) ip(kind, number int) string {
	return fmt.Sprintf("127.%s.%d.%d", wo.subnet, kind, number+1)
}

func newWorld(opts Options, pa *parts) (*world, error) {
	ctx, cancel := context.WithCancel(context.Background())
	wo := &world{usageServer: &standin.UsageServer{}, cancel: cancel, keys: newKeys(), parts: pa, store: &standin.Store{}}
	wo.usageServer.Excused = wo.resumed
	address, err := wo.claim(opts.Seed)
	if err == nil {
		_, err = wo.serve(wo.usageAddress(), wo.usageServer)
	}
	if err == nil {
		err = wo.build(ctx, opts, address)
	}
	if err != nil {
		wo.close()
		return nil, err
	}
	return wo, nil
}

// Subnets of loopback addresses. Each soak has its own.
const (
	firstSubnet = 40
	subnets     = 200
)

// claim reserves a free subnet by serving the store there, and returns the store's address.
// Concurrent soaks with the same seed get different subnets.
func (wo *world) claim(seed uint64) (address string, err error) {
	for try := range uint64(subnets) {
		wo.subnet = fmt.Sprint(firstSubnet + (seed+try)%subnets)
		address, err = wo.serve(wo.ip(9, 0)+":9000", wo.store.Handler())
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return address, err
}

// build starts the endpoints, writes the configuration and launches the programs.
func (wo *world) build(ctx context.Context, opts Options, store string) error {
	if err := wo.buildPlainEndpoints(ctx); err != nil {
		return err
	}
	if err := wo.buildEngines(ctx, opts.Engines); err != nil {
		return err
	}
	if err := wo.buildRivals(ctx); err != nil {
		return err
	}
	if err := wo.configure(ctx); err != nil {
		return err
	}
	return wo.launchAll(opts, store)
}

func (wo *world) buildPlainEndpoints(ctx context.Context) error {
	for i := range plainEndpointCount {
		pe := &standin.PlainEndpoint{ID: fmt.Sprint("desk-", i)}
		wo.plainEndpoints = append(wo.plainEndpoints, pe)
		if err := wo.register(ctx, pe.ID, plainService, wo.ip(1, i), pe, pe.StartedAt, nil); err != nil {
			return err
		}
		pe.CrashFunc = crashFunc(pe.Restart, wo.proxies[i])
	}
	return nil
}

func (wo *world) buildEngines(ctx context.Context, count int) error {
	gap, models := 20*time.Millisecond, []string{model}
	if wo.parts.has(crowdPart) {
		gap, models = crowdGap, []string{model, crowdModel}
	}
	for i := range count {
		en := &standin.Engine{
			Gap: gap, ID: fmt.Sprint("engine-", i), Length: lengthOf, Load: 300 * time.Millisecond,
			Models: models, Slots: slots, Text: textOf,
		}
		wo.engines = append(wo.engines, en)
		if err := wo.register(ctx, en.ID, engineService, wo.ip(2, i), en, en.StartedAt, en); err != nil {
			return err
		}
		en.CrashFunc = wo.crashByChance(crashFunc(en.Restart, wo.proxies[plainEndpointCount+i]))
	}
	return nil
}

// launchAll starts the programs: schedulers first, then entries and attendants.
func (wo *world) launchAll(opts Options, store string) error {
	for i := range schedulers {
		if err := wo.launch(opts, "scheduler", i, wo.ip(3, i), store, ""); err != nil {
			return err
		}
	}
	for i := range opts.Entries {
		if err := wo.launch(opts, "entry", i, wo.ip(4, i), store, ""); err != nil {
			return err
		}
	}
	for i := range opts.Engines {
		app := fmt.Sprintf("%s:%d", wo.ip(2, i), enginePort)
		if err := wo.launch(opts, "attendant", i, wo.ip(2, i), store, app); err != nil {
			return err
		}
	}
	return nil
}

// serve serves a handler at an address.
func (wo *world) serve(address string, ha http.Handler) (string, error) {
	var lc net.ListenConfig
	li, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "soak")
	}
	sv := &http.Server{Handler: ha, ReadHeaderTimeout: time.Minute}
	wo.servers = append(wo.servers, sv)
	go func() { _ = sv.Serve(li) }() // ends when the world is closed
	return li.Addr().String(), nil
}

// register serves an endpoint behind a proxy, and renews its entry in the store.
func (wo *world) register(ctx context.Context, id, service, ip string, ha http.Handler, startedAt func() int64, en *standin.Engine) error {
	target, err := wo.serve(ip+":0", ha)
	if err != nil {
		return err
	}
	pr, err := startProxy(fmt.Sprintf("%s:%d", ip, enginePort), target)
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	if service == rivalService {
		wo.partProxies = append(wo.partProxies, pr)
	} else {
		wo.proxies = append(wo.proxies, pr)
	}
	wo.heartbeats.Go(func() {
		for ctx.Err() == nil {
			if _, hidden := wo.unregistered.Load(id); !hidden {
				wo.sendHeartbeat(ctx, id, service, pr.address(), startedAt(), en)
			}
			sleep(ctx, heartbeat)
		}
	})
	return nil
}

func (wo *world) sendHeartbeat(ctx context.Context, id, service, address string, startedAt int64, en *standin.Engine) {
	endpoint := directory.Endpoint{
		Address: address, Domain: domain, ID: id, Incarnation: incarnation.Number(startedAt), Service: service, Slots: slots,
	}
	if service == rivalService {
		endpoint.Slots = rivalSlots
	}
	if en != nil {
		for _, name := range en.Models {
			endpoint.Models = append(endpoint.Models, directory.ModelVersion{Model: name, Version: en.Version(name)})
		}
	}
	wo.operator().Register(ctx, endpoint)
}

// operator returns a writer of the platform's own keys.
func (wo *world) operator() *standin.Operator { return &standin.Operator{Store: wo.store} }

// usageAddress returns the address of the usage server.
func (wo *world) usageAddress() string { return wo.ip(9, 1) + ":9000" }

// resumed reports whether a program has just been resumed. It may then send a delayed
// report, although another program holds the lease for reports by now.
func (wo *world) resumed(name string) bool {
	for _, pg := range wo.programs {
		if pg.name == name {
			return pg.justResumed()
		}
	}
	return false
}

// configure writes the configuration with the current keys and quotas.
func (wo *world) configure(ctx context.Context) error {
	wo.configMu.Lock()
	defer wo.configMu.Unlock()
	held, quotas, version := wo.keys.snapshot()
	op := &standin.Operator{Keys: held, Quotas: quotas, Store: wo.store}
	op.Configure(ctx, wo.configuration(version))
	return ctx.Err()
}

// configuration returns the routes and services of the world, including those of its
// optional parts.
func (wo *world) configuration(version int64) directory.Configuration {
	route := func(name string, kind directory.Kind, service string) directory.Route {
		return directory.Route{
			Due: stepDue, Goal: 500 * time.Millisecond, Host: host, Kind: kind, MaxAttempts: maxAttempts, MaxWait: 2 * time.Minute,
			Name: name, Prefix: "/" + name + "/", Resumable: true, Shares: []directory.WeightedService{{Service: service}},
			Timeout: callDeadline,
		}
	}
	co := directory.Configuration{
		Limits: directory.Limits{BodySize: 1 << 20},
		Routes: []directory.Route{
			route("safe", directory.Repeatable, plainService), route("once", directory.AtMostOnce, plainService),
			route("steps", directory.Steps, engineService),
		},
		Services: []directory.Service{
			{Name: plainService}, {
				Models: []directory.Model{{Name: model}}, Name: engineService, Slots: slots,
				Scale: &directory.Scale{Startup: time.Second, Max: maxOrdered, Min: 1},
			},
		},
		Version: version,
	}
	if wo.parts.has(crowdPart) {
		crowd := route(crowdRoute, directory.Steps, engineService)
		crowd.Due = crowdDue
		co.Routes = append(co.Routes, crowd)
		co.Services[1].Models = append(co.Services[1].Models, directory.Model{Name: crowdModel})
	}
	if wo.parts.has(rivalsPart) {
		rival := route(rivalRoute, directory.AtMostOnce, rivalService)
		rival.Goal = rivalLatencyGoal
		co.Routes = append(co.Routes, rival)
		co.Services = append(co.Services, directory.Service{Name: rivalService})
	}
	if wo.parts.has(quotaPart) {
		co.Routes = append(co.Routes, route(meteredRoute, directory.AtMostOnce, plainService))
	}
	return co
}

func (wo *world) launch(opts Options, role string, number int, ip, store, app string) error {
	pr, err := startProxy(wo.ip(8, len(wo.programs))+":0", store)
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	name := fmt.Sprintf("%s-%d", role, number)
	pg := &program{
		dir: opts.Dir, ip: ip, name: name, role: role, store: pr,
		settings: standin.SettingsFile(name, ip, domain, pr.address(), app, wo.usageAddress(), peerPort),
	}
	wo.programs = append(wo.programs, pg)
	return pg.run(opts.Binary)
}

// close stops all programs, proxies and servers.
func (wo *world) close() {
	wo.cancel()
	for _, pg := range wo.programs {
		if pg.cmd != nil {
			pg.stop()
		}
		pg.store.close()
	}
	for _, pr := range append(wo.proxies, wo.partProxies...) {
		pr.close()
	}
	for _, sv := range wo.servers {
		_ = sv.Close()
	}
	wo.heartbeats.Wait()
}

// lengthOf returns the number of events of an item: few for most, many for some.
func lengthOf(item string) int {
	if strings.HasPrefix(item, crowdPrefix) {
		return crowdEvents
	}
	ha := fnv.New32a()
	_, _ = ha.Write([]byte(item))
	sum := int(ha.Sum32())
	if sum%10 == 0 {
		return 60 + sum%60
	}
	return 3 + sum%20
}

// hintOf returns the length hint of an item in tokens, at 30 an event: too low by half for
// a third of the items, and twice the actual number for another third.
func hintOf(item string) int {
	ha := fnv.New32a()
	_, _ = ha.Write([]byte(item))
	return 15 << (ha.Sum32() / 7 % 3) * lengthOf(item)
}

// textOf returns the data of an event: the item, the event's number and the version.
func textOf(item string, event int, version uint64) string {
	return fmt.Sprintf("%s/%d/%d", item, event, version)
}
