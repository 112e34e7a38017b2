package trial

import (
	"context"
	"os"
	"path/filepath"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/attendant"
	"wisteriacroft/blob"
	"wisteriacroft/engine"
	"wisteriacroft/entry"
	"wisteriacroft/instancelist"
	"wisteriacroft/keyvalue"
	"wisteriacroft/message"
	"wisteriacroft/plainservice"
	"wisteriacroft/settings"
	"wisteriacroft/weightstore"
)

// replaced is the suffix of the id and folder of an instance that replaces another.
const replaced = "-replaced"

// A process is one process of the system and its successors at the same address.
// At most one of them runs at a time.
type process struct {
	folder   string // data folder, or ""
	instance instancelist.Instance
	start    func(pr *process, ne *network) (running, error)

	mu      sync.Mutex
	network *network
	running *running // nil: not running
}

// A running holds the operations on a running process.
type running struct {
	abort    func()
	serve    func(ne *network) error
	shutdown func(ctx context.Context) error
	status   func(ctx context.Context, he message.Header, req message.StatusRequest) (message.Status, error)
}

// run starts the process.
func (pr *process) run(ctx context.Context, log *logrus.Entry) error {
	ne := &network{}
	if err := ne.listen(ctx, pr.instance.Address); err != nil {
		return err
	}
	ru, err := pr.start(pr, ne)
	if err != nil {
		_ = ne.Close()
		return errors.Wrapf(err, "start %s", pr.instance.ID)
	}
	go func() {
		if err := ru.serve(ne); err != nil {
			log.WithField("instance", pr.instance.ID).WithError(err).Debug("server ended")
		}
	}()
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.network, pr.running = ne, &ru
	return nil
}

// detach marks the process as not running and returns its operations, or nil if it
// wasn't running, and its network. The caller must end the process.
func (pr *process) detach() (*running, *network) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	ru := pr.running
	pr.running = nil
	return ru, pr.network
}

// kill ends the process as SIGKILL would.
func (pr *process) kill() {
	ru, ne := pr.detach()
	if ru == nil {
		return
	}
	ne.cutOff()
	ru.abort()
}

// shutdown ends the process gracefully.
func (pr *process) shutdown(ctx context.Context) error {
	ru, _ := pr.detach()
	if ru == nil {
		return nil
	}
	return errors.Wrapf(ru.shutdown(ctx), "shut down %s", pr.instance.ID)
}

// status requests the process's status; false if it isn't running or fails.
func (pr *process) status(ctx context.Context) (message.Status, bool) {
	pr.mu.Lock()
	ru := pr.running
	pr.mu.Unlock()
	if ru == nil {
		return message.Status{}, false
	}
	st, err := ru.status(ctx, message.Header{}, message.StatusRequest{})
	return st, err == nil
}

// silence permanently silences the open connections of the process and returns
// their number.
func (pr *process) silence() int {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.network.silence()
}

// loseFolder empties the data folder and reports whether it held any files.
func (pr *process) loseFolder() (bool, error) {
	names, err := filepath.Glob(filepath.Join(pr.folder, "*"))
	for _, name := range names {
		err = errors.CombineErrors(err, os.RemoveAll(name))
	}
	return len(names) > 0, errors.Wrapf(err, "data folder of %s", pr.instance.ID)
}

// replaceInstance makes the successor a new instance with an empty data folder. The
// process must not be running.
func (pr *process) replaceInstance() {
	pr.instance.ID += replaced
	pr.folder += replaced
}

// instanceOf returns a process's row in the instance list.
func instanceOf(pr settings.Process) instancelist.Instance {
	return instancelist.Instance{
		Address:       pr.Advertise().String(),
		FailureDomain: pr.FailureDomain(),
		ID:            pr.Instance(),
		Role:          string(pr.Role()),
		State:         instancelist.Live,
	}
}

// newEntryProcess returns the process of an entry's settings.
func newEntryProcess(se settings.Entry, log *logrus.Logger) *process {
	start := func(pr *process, ne *network) (running, error) {
		op := entry.NewOptions(se, log, metrics.NewSet())
		op.Instance = pr.instance.ID
		op.DialFunc = ne.dial
		op.Instances = instancelist.NewHTTP(se.Platform().InstanceList(), ne.httpClient())
		op.KeyValue = keyvalue.NewHTTP(se.Platform().KeyValue(), ne.httpClient())
		op.Weights = weightstore.NewHTTP(se.Platform().WeightStore(), ne.httpClient())
		en := entry.New(op)
		en.Start()
		return running{
			abort:    en.Abort,
			serve:    func(ne *network) error { return en.Serve(ne) },
			shutdown: en.Shutdown,
			status:   en.Status,
		}, nil
	}
	return &process{instance: instanceOf(se.Process), start: start}
}

// newAttendantProcess returns the process of an attendant's settings, with
// another data folder.
func newAttendantProcess(se settings.Attendant, folder string, log *logrus.Logger) *process {
	start := func(pr *process, ne *network) (running, error) {
		op := attendant.NewOptions(se, log, metrics.NewSet())
		op.Instance = pr.instance.ID
		op.DialFunc = ne.dial
		op.Instances = instancelist.NewHTTP(se.Platform().InstanceList(), ne.httpClient())
		for i, en := range se.Endpoints() {
			if en.Kind() == settings.EngineKind {
				op.Endpoints[i].Engine = engine.NewHTTP(en.Address(), ne.httpClient())
			} else {
				op.Endpoints[i].Plain = plainservice.NewHTTP(en.Address(), ne.httpClient())
			}
		}
		if se.DataFolder() != "" {
			op.Store = &blob.Store{Folder: pr.folder}
		}
		at, err := attendant.New(op)
		if err != nil {
			return running{}, err
		}
		at.Start()
		return running{
			abort:    at.Abort,
			serve:    func(ne *network) error { return at.Serve(ne) },
			shutdown: at.Shutdown,
			status:   at.Status,
		}, nil
	}
	return &process{folder: folder, instance: instanceOf(se.Process), start: start}
}
