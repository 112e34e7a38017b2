package trial

import (
	"context"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"wisteriacroft/instancelist"
	"wisteriacroft/keyvalue"
	"wisteriacroft/profile"
	"wisteriacroft/roundtrip"
	"wisteriacroft/standin"
)

// commandTimeout bounds a command to the stand-in platform. It is longer than
// any fault of the platform.
const commandTimeout = 30 * time.Second

// errPlatform means that the stand-in platform did not execute a command.
var errPlatform = errors.New("stand-in platform did not respond")

// A world is a running deployment and its stand-ins.
type world struct {
	attendants []*process
	clients    *standin.Clients
	deployment deployment
	endpoints  *standin.Endpoints
	entries    []*process
	log        *logrus.Entry
	platform   *standin.Platform
	registry   roundtrip.Client // of the platform's instance list
	standIns   *errgroup.Group  // end with the context of newWorld
	store      *profile.Store
}

// newWorld starts the stand-ins of a deployment, which run until ctx ends. Data
// folders are created in folder.
func newWorld(ctx context.Context, de deployment, folder string, log *logrus.Logger) (*world, error) {
	hc := roundtrip.NewHTTPClient()
	base := "http://" + de.platform.Listen
	wo := &world{
		clients:    standin.NewClients(de.clients, nil),
		deployment: de,
		endpoints:  standin.NewEndpoints(de.endpoints),
		log:        log.WithField("deployment", de.name),
		platform:   standin.NewPlatform(de.platform),
		registry:   roundtrip.New(base, hc, errPlatform),
		store:      &profile.Store{Client: keyvalue.NewHTTP(base, hc)},
	}
	for _, se := range de.entries {
		wo.entries = append(wo.entries, newEntryProcess(se, log))
	}
	for _, se := range de.attendants {
		wo.attendants = append(wo.attendants, newAttendantProcess(se, filepath.Join(folder, se.Instance()), log))
	}
	wo.standIns, ctx = errgroup.WithContext(ctx)
	if err := wo.serve(ctx, de.platform.Listen, wo.platform.Serve); err != nil {
		return nil, err
	}
	return wo, wo.serve(ctx, de.endpoints.Listen, wo.endpoints.Serve)
}

// serve runs a stand-in until ctx ends.
func (wo *world) serve(ctx context.Context, address string, serve func(context.Context, net.Listener) error) error {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	wo.standIns.Go(func() error { return serve(ctx, ln) })
	return nil
}

// processes returns all processes, the entries first.
func (wo *world) processes() []*process {
	return append(append([]*process{}, wo.entries...), wo.attendants...)
}

// start starts a process and registers its instance.
func (wo *world) start(ctx context.Context, pr *process) error {
	if err := pr.run(ctx, wo.log); err != nil {
		return err
	}
	return wo.register(ctx, pr.instance)
}

// register adds an instance to the platform's list, or changes its row.
func (wo *world) register(ctx context.Context, in instancelist.Instance) error {
	return wo.command(ctx, http.MethodPost, "/instances", in)
}

// unregister removes an instance from the platform's list.
func (wo *world) unregister(ctx context.Context, pr *process) error {
	return wo.command(ctx, http.MethodDelete, "/instances/"+pr.instance.ID, nil)
}

// command sends a command to the stand-in platform, with retries while it is
// unavailable.
func (wo *world) command(ctx context.Context, method, path string, in any) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	for {
		_, status, err := roundtrip.Call[struct{}](ctx, wo.registry, method, path, in)
		if err == nil && status != http.StatusOK {
			err = errors.Wrapf(errPlatform, "status %d", status)
		}
		if err == nil || !sleep(ctx, pollEvery) {
			return errors.Wrapf(err, "%s %s", method, path)
		}
	}
}

// apply stores the deployment's profiles and returns their revision.
func (wo *world) apply(ctx context.Context) (uint64, error) {
	ou, err := wo.store.Apply(ctx, profile.ApplyRequest{
		By:      "trial",
		Message: "first declarations",
		Wanted:  wo.deployment.profiles,
	})
	return ou.Document.Revision(), err
}

// shutdown shuts down all processes gracefully and concurrently.
func (wo *world) shutdown(ctx context.Context) error {
	var gr errgroup.Group
	for _, pr := range wo.processes() {
		gr.Go(func() error { return pr.shutdown(ctx) })
	}
	return gr.Wait()
}

// kill kills all processes that are still running.
func (wo *world) kill() {
	for _, pr := range wo.processes() {
		pr.kill()
	}
}
