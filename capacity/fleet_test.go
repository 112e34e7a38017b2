package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/engine"
	"wisteriacroft/entry"
	"wisteriacroft/instancelist"
	"wisteriacroft/keyvalue"
	"wisteriacroft/message"
	"wisteriacroft/profile"
	"wisteriacroft/weightstore"
)

const (
	answerTime = 5 * time.Millisecond // of a call of the key-value service
	fetchLimit = 20
	pullWait   = 30 * time.Second
	trainers   = 16
)

// A fleet is entries, their shared key-value service, and trainers that pull
// through a load balancer. It has no attendants, since they don't use the
// key-value service.
type fleet struct {
	cancel   context.CancelFunc
	client   *http.Client
	entries  []*entry.Entry // nil while one is down
	me       keyvalue.Memory
	network  network
	services int
	work     sync.WaitGroup
}

// declare returns the profiles of a number of services with engines, and of the
// trainers, whose samples the first service generates.
func declare(t testing.TB, services int) []profile.Profile {
	var all []profile.Profile
	add := func(name, text string) {
		pr, findings := profile.Parse(name, name+".toml", text)
		assert.Equal(t, len(findings), 0, "%v", findings)
		all = append(all, pr)
	}
	for i := range services {
		add(fmt.Sprintf("llm-%02d", i), fmt.Sprintf(
			"kind = 'service'\nservice = 'llm-%02d'\ntype = 'engine'\nmax-running = 16\nendpoints = ['llm-%02d-1']\n", i, i))
	}
	var names []string
	for i := range trainers {
		names = append(names, "'"+trainerName(i)+"'")
	}
	add("samples", "kind = 'samples'\nservice = 'llm-00'\nstaleness-bound = 4\ndeadline = '24m'\ntrainers = ["+strings.Join(names, ", ")+"]\n")
	return all
}

func trainerName(i int) string { return fmt.Sprintf("trainer-%02d", i) }

func entryName(i int) string { return fmt.Sprintf("entry-%02d", i) }

// newFleet returns a fleet whose entries are all down.
func newFleet(t *testing.T, entries, services int) *fleet {
	fl := &fleet{entries: make([]*entry.Entry, entries), services: services}
	fl.client = &http.Client{Transport: &http.Transport{DialContext: pipeDialer(&fl.network)}}
	st := &profile.Store{Client: fl.me.Client()}
	_, err := st.Apply(t.Context(), profile.ApplyRequest{By: "capacity", Message: "first", Wanted: declare(t, services)})
	assert.NilError(t, err)
	fl.me.SetFaults(keyvalue.Faults{Delay: answerTime})
	return fl
}

// start starts an entry.
func (fl *fleet) start(i int, incarnation uint64) {
	en := entry.New(entry.Options{
		Address: entryName(i), DialFunc: fl.network.dial, FailureDomain: fmt.Sprint("fd-", i%9),
		Incarnation: incarnation, Instance: entryName(i),
		Instances: &instancelist.Client{ListFunc: fl.list}, KeyValue: fl.me.Client(),
		Seed: uint64(i), TickEvery: 200 * time.Millisecond,
		Weights: &weightstore.Client{
			LatestFunc: func(context.Context, string) (engine.Version, error) { return 7, nil },
			RateFunc:   func(context.Context) (int, error) { return fetchLimit, nil },
		},
	})
	fl.entries[i] = en
	li := fl.network.listen(entryName(i))
	en.Start()
	fl.work.Go(func() { _ = en.Serve(li) })
}

// list returns the platform's list of instances.
func (fl *fleet) list(context.Context) ([]instancelist.Instance, error) {
	var ins []instancelist.Instance
	for i := range fl.entries {
		ins = append(ins, instancelist.Instance{
			Address: entryName(i), FailureDomain: fmt.Sprint("fd-", i%9), ID: entryName(i), Role: "entry", State: instancelist.Live,
		})
	}
	return ins, nil
}

// abort terminates an entry abruptly, as a kill does.
func (fl *fleet) abort(i int) {
	fl.entries[i].Abort()
	fl.entries[i] = nil
}

// pull lets each trainer pull repeatedly, from one entry after the other.
func (fl *fleet) pull(ctx context.Context) {
	ctx, fl.cancel = context.WithCancel(ctx)
	for i := range trainers {
		fl.work.Go(func() {
			for turn := i; ctx.Err() == nil; turn++ {
				if en := turn % len(fl.entries); fl.entries[en] != nil {
					fl.pullOnce(ctx, en, trainerName(i))
				}
				sleep(ctx, time.Second) // the retry delay of a refusal
			}
		})
	}
}

func (fl *fleet) pullOnce(ctx context.Context, en int, trainer string) {
	body, _ := json.Marshal(message.PullRequest{Cursor: message.Cursor{Incarnation: 1, Step: -1}, Wait: pullWait.String()})
	url := "http://" + entryName(en) + "/v1/trainers/" + trainer + "/pull"
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	an, err := fl.client.Do(rq)
	if err != nil {
		return
	}
	defer an.Body.Close()
	_, _ = io.Copy(io.Discard, an.Body)
}

// stop stops the trainers and all entries.
func (fl *fleet) stop() {
	fl.cancel()
	for i := range fl.entries {
		if fl.entries[i] != nil {
			fl.abort(i)
		}
	}
	fl.client.CloseIdleConnections()
	fl.work.Wait()
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
