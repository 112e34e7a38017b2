package cmd

import (
	"cmp"
	"context"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"wisteriacroft/instancelist"
	"wisteriacroft/message"
	"wisteriacroft/peer"
)

// maxConcurrentRequests bounds concurrent status requests.
const maxConcurrentRequests = 32

// Errors of the status command.
var (
	errNoProcess   = errors.New("name processes by --address, or the instance list by --platform")
	errUnreachable = errors.New("processes are unreachable")
)

// A StatusCmd shows the status of processes.
type StatusCmd struct {
	Address  []string      `help:"Address (IP:port) of a process; may be repeated." placeholder:"IP:PORT"`
	Output   string        `default:"table" enum:"table,json" help:"Form of the output: table or json."`
	Platform string        `env:"WISTERIACROFT_PLATFORM" help:"Base URL of the instance list, to ask all processes that it holds." placeholder:"URL"`
	Timeout  time.Duration `default:"3s" help:"How long to wait for each process."`
}

// A StatusEnv holds the dependencies of the status command.
type StatusEnv struct {
	// AskFunc requests the status of the process at an address. The role is "" if unknown.
	AskFunc func(ctx context.Context, address, role string) (message.Status, error)
	// ListFunc returns the instance list at a base URL.
	ListFunc func(ctx context.Context, baseURL string) ([]instancelist.Instance, error)
	Stdout   io.Writer
}

// A ProcessReport is the status of a process, or the error of its request.
type ProcessReport struct {
	Address       string             `json:"address"`
	Error         string             `json:"error,omitempty"`
	FailureDomain string             `json:"failure-domain,omitempty"`
	Instance      string             `json:"instance,omitempty"`
	ListedState   instancelist.State `json:"listed-state,omitempty"`
	Role          string             `json:"role,omitempty"`
	Status        *message.Status    `json:"status,omitempty"`
}

// A StatusReport holds the reports of all processes, sorted by role and instance.
type StatusReport struct {
	Processes []ProcessReport `json:"processes"`
}

// Run requests and prints the status of the processes.
func (sc *StatusCmd) Run(ctx context.Context, env *StatusEnv) error {
	reports, err := sc.processes(ctx, env)
	if err != nil {
		return err
	}
	sc.ask(ctx, env, reports)
	slices.SortStableFunc(reports, compareReports)
	re := StatusReport{Processes: reports}
	pr := printer{out: env.Stdout}
	if sc.Output == outputJSON {
		pr.json(re)
	} else {
		pr.status(re)
	}
	if count := re.unreachable(); pr.err == nil && count > 0 {
		return errors.Wrapf(errUnreachable, "%d of %d", count, len(reports))
	}
	return pr.err
}

// processes returns an empty report for each process to ask.
func (sc *StatusCmd) processes(ctx context.Context, env *StatusEnv) ([]ProcessReport, error) {
	reports := []ProcessReport{}
	for _, address := range sc.Address {
		reports = append(reports, ProcessReport{Address: address})
	}
	if len(reports) > 0 {
		return reports, nil
	}
	if sc.Platform == "" {
		return nil, NewExitError(ExitBadInput, errNoProcess)
	}
	ctx, cancel := context.WithTimeout(ctx, sc.Timeout)
	defer cancel()
	ins, err := env.ListFunc(ctx, sc.Platform)
	if err != nil {
		return nil, NewExitError(ExitUnavailable, err)
	}
	for _, in := range ins {
		reports = append(reports, ProcessReport{
			Address:       in.Address,
			FailureDomain: in.FailureDomain,
			Instance:      in.ID,
			ListedState:   in.State,
			Role:          in.Role,
		})
	}
	return reports, nil
}

// ask fills the reports concurrently.
func (sc *StatusCmd) ask(ctx context.Context, env *StatusEnv, reports []ProcessReport) {
	var eg errgroup.Group
	eg.SetLimit(maxConcurrentRequests)
	for i := range reports {
		eg.Go(func() error {
			sc.askOne(ctx, env, &reports[i])
			return nil
		})
	}
	_ = eg.Wait() // always nil: errors are in the reports
}

// askOne fills a report with the status of its process, or the error.
func (sc *StatusCmd) askOne(ctx context.Context, env *StatusEnv, re *ProcessReport) {
	ctx, cancel := context.WithTimeout(ctx, sc.Timeout)
	defer cancel()
	st, err := env.AskFunc(ctx, re.Address, re.Role)
	if err != nil {
		re.Error = err.Error()
		return
	}
	st.Batches = notNil(st.Batches)
	st.Endpoints = notNil(st.Endpoints)
	st.Leases = notNil(st.Leases)
	st.Trainers = notNil(st.Trainers)
	re.FailureDomain = st.FailureDomain
	re.Instance = st.Instance
	re.Role = st.Role
	re.Status = &st
}

// notNil returns a copy that JSON encodes as a list even if it is empty.
func notNil[Item any](items []Item) []Item {
	return append([]Item{}, items...)
}

// unreachable returns the number of processes without a status.
func (sr StatusReport) unreachable() int {
	count := 0
	for _, re := range sr.Processes {
		if re.Status == nil {
			count++
		}
	}
	return count
}

// compareReports orders entries before attendants, and then by instance.
func compareReports(re, other ProcessReport) int {
	return cmp.Or(
		-cmp.Compare(re.Role, other.Role),
		cmp.Compare(re.Instance, other.Instance),
		cmp.Compare(re.Address, other.Address),
	)
}

// askProcess requests the status of the process at an address over net/rpc.
func askProcess(ctx context.Context, address, role string) (message.Status, error) {
	po := &peer.Pool{}
	defer po.Close()
	return askThrough(ctx, po, address, role)
}

// askThrough requests a status over a pool. If the role is unknown, it tries the method of
// entries first and then that of attendants.
func askThrough(ctx context.Context, po *peer.Pool, address, role string) (message.Status, error) {
	methods := []string{message.EntryStatusMethod, message.AttendantStatusMethod}
	if role == "attendant" {
		methods = methods[1:]
	}
	var (
		err error
		st  message.Status
	)
	for _, method := range methods {
		st, err = peer.Call[message.StatusRequest, message.Status](ctx, po, address, method, message.StatusRequest{})
		if !errors.Is(err, peer.ErrUnknownMethod) {
			break
		}
	}
	return st, err
}

// listInstances returns the instance list at a base URL.
func listInstances(ctx context.Context, baseURL string) ([]instancelist.Instance, error) {
	return instancelist.NewHTTP(baseURL, nil).ListFunc(ctx)
}
