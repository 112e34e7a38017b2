package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"golang.org/x/sync/errgroup"

	"wisteriacroft/outcome"
	"wisteriacroft/roundtrip"
	"wisteriacroft/weightstore"
)

// A ClientsSummary is the last line of `stand-in trainer`.
type ClientsSummary struct {
	Callers  []CallerSummary  `json:"callers"`
	Trainers []TrainerSummary `json:"trainers"`
}

// Clients are trainers and live callers in one process.
type Clients struct {
	callers  []*Caller
	trainers []*Trainer
}

// NewClients returns the clients of validated settings. If hc is nil, it
// creates a client.
func NewClients(se ClientsSettings, hc *http.Client) *Clients {
	if hc == nil {
		hc = roundtrip.NewHTTPClient()
	}
	cl := &Clients{}
	for _, ca := range se.Callers {
		cl.callers = append(cl.callers, NewCaller(ca, se.Entries, se.Endpoints, hc))
	}
	for _, tr := range se.Trainers {
		cl.trainers = append(cl.trainers, NewTrainer(tr, se.Entries, se.Platform, hc))
	}
	return cl
}

// A ClientsProgress is the progress of running clients.
type ClientsProgress struct {
	Calls   int // that ended
	Samples int // received by the trainers
	Step    int // of the slowest trainer
	Wanted  int // samples in all
}

// Progress returns the progress of the clients. It may be called while they run.
func (cl *Clients) Progress() ClientsProgress {
	var pr ClientsProgress
	for _, ca := range cl.callers {
		ca.count(func() { pr.Calls += ca.sum.Calls })
	}
	for i, tr := range cl.trainers {
		step := int(tr.pulled.Load())
		if i == 0 || step < pr.Step {
			pr.Step = step
		}
		pr.Samples += int(tr.samples.Load())
		pr.Wanted += tr.wanted()
	}
	return pr
}

// Recount repeats the comparison of the callers' results with the counts of the
// endpoints: a request that was refused as not run may have run later.
func (cl *Clients) Recount(ctx context.Context, sum ClientsSummary) (ClientsSummary, error) {
	for i, ca := range cl.callers {
		var err error
		if sum.Callers[i], err = ca.compare(ctx); err != nil {
			return sum, err
		}
	}
	return sum, nil
}

// Run runs the trainers to their last step and the callers for their configured
// duration, or until ctx ends.
func (cl *Clients) Run(ctx context.Context) (ClientsSummary, error) {
	sum := ClientsSummary{
		Callers:  make([]CallerSummary, len(cl.callers)),
		Trainers: make([]TrainerSummary, len(cl.trainers)),
	}
	trained, stop := context.WithCancel(ctx)
	defer stop()
	var callers, trainers errgroup.Group
	for i, ca := range cl.callers {
		callers.Go(func() (err error) { sum.Callers[i], err = ca.Run(ctx, trained.Done()); return err })
	}
	for i, tr := range cl.trainers {
		trainers.Go(func() (err error) { sum.Trainers[i], err = tr.Run(ctx); return err })
	}
	err := trainers.Wait()
	stop()
	if callerErr := callers.Wait(); err == nil {
		err = callerErr
	}
	return sum, err
}

// entries is a client's list of entries and the one currently in use.
type entries struct {
	mu        sync.Mutex
	addresses []string
	index     int // of the current entry, modulo the number of addresses
}

// current returns the base URL of the current entry.
func (es *entries) current() string {
	es.mu.Lock()
	defer es.mu.Unlock()
	return "http://" + es.addresses[es.index%len(es.addresses)]
}

// next switches to the next entry.
func (es *entries) next() {
	es.mu.Lock()
	defer es.mu.Unlock()
	es.index++
}

// refusalOf decodes the refusal in a response body.
func refusalOf(resp *http.Response) *outcome.Refusal {
	re := &outcome.Refusal{}
	err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxBody)).Decode(re)
	if err != nil || re.Code == "" {
		return outcome.NewRefusal(outcome.OutcomeUnknown, "", resp.Status)
	}
	return re
}

// weights reads and publishes the versions of one model.
type weights struct {
	client roundtrip.Client
	model  string
}

// call reads the newest version (GET) or publishes the next one (POST), and
// retries until the store responds or ctx ends.
func (we weights) call(ctx context.Context, method string) (weightstore.Weights, error) {
	for {
		la, status, err := roundtrip.Call[weightstore.Weights](ctx, we.client, method, "/weights/"+we.model, nil)
		if err == nil && status == http.StatusOK {
			return la, nil
		}
		if ctx.Err() != nil {
			return la, ctx.Err()
		}
		sleep(ctx, retryWait)
	}
}
