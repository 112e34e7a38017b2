package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/attendant"
	"wisteriacroft/engine"
	"wisteriacroft/entry"
	"wisteriacroft/keyvalue"
	"wisteriacroft/membership"
	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/profile"
	"wisteriacroft/rollout"
	"wisteriacroft/weightstore"
)

// A site is one entry and, behind one listener, a stand-in for all attendants,
// which accepts payloads and keeps each attempt running.
type site struct {
	address          string // of the stand-in
	closers          []func()
	client           *http.Client
	entry            *entry.Entry
	progressRequests []chan struct{} // for each attempt, requests a line of progress
	mu               sync.Mutex
	network          network
	received         atomic.Int64 // bytes from attendants to the entry
	sent             atomic.Int64 // bytes from the entry to attendants
}

// A countingConn is a connection that counts its bytes.
type countingConn struct {
	net.Conn
	site *site
}

// Read implements net.Conn.
func (cc countingConn) Read(data []byte) (int, error) {
	n, err := cc.Conn.Read(data)
	cc.site.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (cc countingConn) Write(data []byte) (int, error) {
	n, err := cc.Conn.Write(data)
	cc.site.sent.Add(int64(n))
	return n, err
}

func (si *site) dial(ctx context.Context, _ string) (net.Conn, error) {
	co, err := (&net.Dialer{}).DialContext(ctx, "tcp", si.address)
	return countingConn{Conn: co, site: si}, err
}

// newSite returns a site whose entry has received reports of a number of
// endpoints, three at each attendant. Its systems run only when tick is called.
func newSite(b *testing.B, endpoints int) *site {
	si := &site{}
	si.serve(b)
	replica := &profile.Replica{}
	replica.Offer(profile.NewDocument(1, declare(b, 1)...), profile.FromService)
	var me keyvalue.Memory
	si.entry = entry.New(entry.Options{
		Address: entryName(0), DialFunc: si.dial, FailureDomain: "fd-0", Incarnation: 1, Instance: entryName(0),
		KeyValue: me.Client(), Profiles: replica,
		Weights: &weightstore.Client{
			LatestFunc: func(context.Context, string) (engine.Version, error) { return 7, nil },
			RateFunc:   func(context.Context) (int, error) { return fetchLimit, nil },
		},
	})
	li := si.network.listen(entryName(0))
	go func() { _ = si.entry.Serve(li) }()
	si.client = &http.Client{Transport: &http.Transport{DialContext: pipeDialer(&si.network)}}
	si.report(b, endpoints)
	si.closers = append(si.closers, si.entry.Abort, si.client.CloseIdleConnections)
	return si
}

// close closes everything in reverse order of creation.
func (si *site) close() {
	for i := len(si.closers) - 1; i >= 0; i-- {
		si.closers[i]()
	}
}

// serve starts the stand-in for the attendants.
func (si *site) serve(b *testing.B) {
	ln, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	si.address = ln.Addr().String()
	sv := &peer.Server{}
	peer.Handle(sv, attendant.BlobPutMethod,
		func(context.Context, message.Header, attendant.BlobRequest) (attendant.BlobResponse, error) {
			return attendant.BlobResponse{}, nil
		})
	peer.Handle(sv, rollout.ProbeMethod,
		func(_ context.Context, _ message.Header, rq rollout.ProbeRequest) (rollout.Status, error) {
			return rollout.Status{Endpoint: rq.Endpoint, Incarnation: 1, Phase: rollout.Idle, Version: 7}, nil
		})
	hs := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		if rq.Method == http.MethodConnect {
			sv.ServeHTTP(rw, rq)
			return
		}
		si.attempt(rw, rq)
	})}
	go func() { _ = hs.Serve(ln) }()
	si.closers = append(si.closers, func() { hs.Close() })
}

// attempt responds to a sample request with a line of progress whenever one is
// requested through its channel.
func (si *site) attempt(rw http.ResponseWriter, rq *http.Request) {
	attempt, err := readAttempt(rq.Body)
	if err != nil {
		return
	}
	line := make(chan struct{})
	rw.WriteHeader(http.StatusOK)
	control := http.NewResponseController(rw)
	_ = control.Flush()
	si.mu.Lock()
	si.progressRequests = append(si.progressRequests, line)
	si.mu.Unlock()
	encoder := json.NewEncoder(rw)
	for progress := 10_000; ; progress += 10 {
		select {
		case <-rq.Context().Done():
			return
		case <-line:
			_ = encoder.Encode(message.SampleEvent{Attempt: attempt, Progress: progress, Version: 70_000})
			_ = control.Flush()
		}
	}
}

// readAttempt returns the attempt's id in a request, and discards the rest.
func readAttempt(body io.Reader) (string, error) {
	var req struct {
		Attempt string `json:"attempt"`
	}
	if err := json.NewDecoder(body).Decode(&req); err != nil {
		return "", err
	}
	_, err := io.Copy(io.Discard, body)
	return req.Attempt, err
}

// running returns the number of running attempts.
func (si *site) running() int {
	si.mu.Lock()
	defer si.mu.Unlock()
	return len(si.progressRequests)
}

// report reports the endpoints to the entry.
func (si *site) report(b *testing.B, endpoints int) {
	po := &peer.Pool{DialFunc: si.network.dial}
	defer po.Close()
	for i := range (endpoints + 2) / 3 {
		id := fmt.Sprintf("attendant-%03d", i)
		su := membership.StateUpdate{Beat: 1, Incarnation: 1, Instance: id, Card: &membership.Descriptor{
			Address: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250), DataFolder: true, FailureDomain: fmt.Sprint("fd-", i%9),
		}}
		for e := range min(3, endpoints-3*i) {
			su.Card.Endpoints = append(su.Card.Endpoints, membership.EndpointDescriptor{ID: fmt.Sprintf("%s-%d", id, e), Service: "llm-00"})
			su.Endpoints = append(su.Endpoints, membership.EndpointUpdate{Running: 15, State: membership.Ready, Version: 7})
		}
		_, err := peer.Call[membership.ReportRequest, membership.ReportResponse](
			b.Context(), po, entryName(0), membership.ReportMethod, membership.ReportRequest{News: su})
		assert.NilError(b, err)
	}
}

// tick runs all systems of the entry once.
func (si *site) tick() {
	for _, sy := range si.entry.Systems() {
		sy.Run(time.Now())
	}
}

// submit submits a step for each of the trainers, and waits until all samples run.
func (si *site) submit(b *testing.B, owned, samples int) {
	req := message.StepRequest{Profile: "samples"}
	for range samples / groupSize {
		req.Groups = append(req.Groups, message.Group{MaxTokens: 20_000, Members: groupSize, Prompt: "mark"})
	}
	body, err := json.Marshal(req)
	assert.NilError(b, err)
	si.tick() // adds the trainers of the profiles
	answers := make(chan int, owned)
	for i := range owned {
		url := fmt.Sprintf("http://%s/v1/trainers/%s/steps/0", entryName(0), trainerName(i))
		rq, err := http.NewRequestWithContext(b.Context(), http.MethodPut, url, bytes.NewReader(body))
		assert.NilError(b, err)
		go func() {
			an, err := si.client.Do(rq)
			if err != nil {
				answers <- 0
				return
			}
			an.Body.Close()
			answers <- an.StatusCode
		}()
	}
	for done, end := 0, time.Now().Add(time.Minute); done < owned || si.running() < owned*samples; {
		assert.Assert(b, time.Now().Before(end), "%d accepted, %d run", done, si.running())
		select {
		case status := <-answers:
			assert.Equal(b, status, http.StatusOK)
			done++
		case <-time.After(entry.DefaultTickEvery / 4):
			si.tick()
		}
	}
}

// settle ticks until the rollout of the entry has probed each endpoint.
func (si *site) settle() {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(entry.DefaultTickEvery) {
		si.tick()
	}
}

// memory returns the bytes of live objects and of stacks.
func memory() int64 {
	runtime.GC()
	runtime.GC() // frees what finalizers released
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc + ms.StackInuse)
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var us syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &us) // it fails only for invalid arguments
	return time.Duration(us.Utime.Nano() + us.Stime.Nano())
}

// BenchmarkEntryTick measures one tick of all systems of an entry.
func BenchmarkEntryTick(b *testing.B) {
	for _, ca := range []struct{ endpoints, owned, samples int }{
		{30, 0, 0}, {300, 0, 0}, {1100, 0, 0}, {1100, 1, 64}, {1100, 1, 256}, {1100, 1, 1024}, {1100, 16, 64}, {1100, 16, 128},
	} {
		b.Run(fmt.Sprintf("endpoints=%d/trainers=%d/samples=%d", ca.endpoints, ca.owned, ca.samples), func(b *testing.B) {
			si := newSite(b, ca.endpoints)
			defer si.close()
			si.submit(b, ca.owned, ca.samples)
			si.settle()
			for b.Loop() {
				si.tick()
			}
		})
	}
}

// BenchmarkEntryMembership measures the memory that an entry uses for endpoints.
func BenchmarkEntryMembership(b *testing.B) {
	for _, endpoints := range []int{30, 300, 1100} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			for b.Loop() {
				si := newSite(b, 0)
				before := memory()
				si.report(b, endpoints)
				b.ReportMetric(float64(memory()-before), "B")
				si.close()
			}
		})
	}
}

// BenchmarkEntryStep measures the cost of the running attempts of a step at the
// entry that owns it: memory, and for each line of progress bytes and processor
// time. The cost of the stand-in for the attendants is measured with plain
// connections to it, and subtracted.
func BenchmarkEntryStep(b *testing.B) {
	for _, samples := range []int{64, 256, 1024} {
		b.Run(fmt.Sprintf("samples=%d", samples), func(b *testing.B) {
			for b.Loop() {
				bare := newSite(b, 0)
				empty := memory()
				bare.connect(b, samples)
				fake := memory() - empty
				fakeCPU, _ := bare.progress(b)
				bare.close()

				si := newSite(b, 1100)
				before := memory()
				si.submit(b, 1, samples)
				held, sent := memory()-before, si.sent.Load()
				cpu, received := si.progress(b)
				si.close()
				b.ReportMetric(float64(held-fake)/float64(samples), "B/attempt")
				b.ReportMetric(float64(sent)/float64(samples), "sent-B/attempt")
				b.ReportMetric(received, "received-B/line")
				b.ReportMetric(float64((cpu - fakeCPU).Nanoseconds()), "cpu-ns/line")
			}
		})
	}
}

// connect sends requests to the stand-in over plain connections.
func (si *site) connect(b *testing.B, count int) {
	body := `{"attempt":"0190163d-8694-739b-aea5-966c26f8ad90-1"}`
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for range count {
		co, err := si.dial(b.Context(), "")
		assert.NilError(b, err)
		si.closers = append(si.closers, func() { co.Close() })
		_, err = io.WriteString(co, head)
		assert.NilError(b, err)
		go func() {
			buffer := make([]byte, 256)
			for {
				if _, err := co.Read(buffer); err != nil {
					return
				}
			}
		}()
	}
	for end := time.Now().Add(time.Minute); si.running() < count; time.Sleep(time.Millisecond) {
		assert.Assert(b, time.Now().Before(end))
	}
}

// progress requests some lines from each attempt, and returns the processor time
// and the received bytes for each line.
func (si *site) progress(b *testing.B) (cpu time.Duration, received float64) {
	const rounds = 20
	time.Sleep(100 * time.Millisecond)
	bytes, start := si.received.Load(), processorTime()
	for range rounds {
		for _, line := range si.progressRequests {
			line <- struct{}{}
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	count := rounds * len(si.progressRequests)
	assert.Assert(b, count > 0)
	return (processorTime() - start) / time.Duration(count), float64(si.received.Load()-bytes) / float64(count)
}
