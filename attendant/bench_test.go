package attendant_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/attendant"
	"wisteriacroft/engine"
	"wisteriacroft/message"
	"wisteriacroft/plainservice"
)

// Benchmark sizes.
const (
	benchSamples = 8 // running samples per endpoint
	benchTokens  = 1000
)

// instant returns an engine that generates tokens without delay. With hold it then keeps the stream
// open until its context ends.
func instant(hold bool, made chan<- struct{}) *engine.Client {
	return &engine.Client{
		GenerateFunc: func(ctx context.Context, req engine.GenerateRequest, emit func(engine.Chunk) error) error {
			for i := range benchTokens {
				err := emit(engine.Chunk{
					Done: !hold && i == benchTokens-1, First: i, RequestID: req.ID,
					Tokens: []engine.Token{{ID: int32(i)}}, Version: 7,
				})
				if err != nil {
					return err
				}
			}
			if !hold {
				return nil
			}
			made <- struct{}{}
			<-ctx.Done()
			return ctx.Err()
		},
		ReportFunc: func(context.Context) (engine.Report, error) { return engine.Report{At: time.Now(), Version: 7}, nil },
	}
}

// heap returns the size of live heap objects in bytes.
func heap() float64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapAlloc)
}

// BenchmarkTick measures the processor time of one tick while samples run, and the memory that they
// use.
func BenchmarkTick(b *testing.B) {
	for _, count := range []int{1, 3, 10} {
		b.Run(fmt.Sprintf("endpoints-%d", count), func(b *testing.B) {
			before := heap()
			made := make(chan struct{})
			op := attendant.Options{ReportEvery: time.Hour}
			for i := range count {
				op.Endpoints = append(op.Endpoints, attendant.EndpointOptions{
					Engine: instant(true, made), Name: fmt.Sprintf("marker-%d", i), Service: "marker-llm",
				})
			}
			at, err := attendant.New(op)
			assert.NilError(b, err)
			settle(b, at)
			idle := heap()
			ctx, cancel := context.WithCancel(b.Context())
			done := make(chan struct{})
			for _, eo := range op.Endpoints {
				for i := range benchSamples {
					rq := sampleCall(b, eo.Name, fmt.Sprintf("%s-%d", eo.Name, i)).WithContext(ctx)
					go func() {
						at.ServeHTTP(httptest.NewRecorder(), rq)
						done <- struct{}{}
					}()
					<-made
				}
			}
			busy := heap()
			systems, now := at.Systems(), time.Now()
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				for _, sy := range systems {
					sy.Run(now)
				}
			}
			b.ReportMetric((idle-before)/float64(count), "idle-B/endpoint")
			b.ReportMetric((busy-idle)/float64(count*benchSamples), "B/running-sample")
			cancel()
			for range count * benchSamples {
				<-done
			}
		})
	}
}

// settle polls each endpoint's report once.
func settle(b *testing.B, at *attendant.Attendant) {
	b.Helper()
	for _, sy := range at.Systems() {
		sy.Run(time.Now())
	}
	for seen := false; !seen; runtime.Gosched() {
		st, err := at.Status(b.Context(), message.Header{}, message.StatusRequest{})
		assert.NilError(b, err)
		seen = !slices.ContainsFunc(st.Endpoints, func(en message.EndpointStatus) bool { return en.SeenAt.IsZero() })
	}
}

// sampleCall returns the HTTP request of a sample.
func sampleCall(tb testing.TB, endpoint, attempt string) *http.Request {
	tb.Helper()
	req := sampleRequest(attempt, somePlaces)
	req.MaxTokens, req.MinVersion, req.Deadline = benchTokens, 0, "1h"
	body, err := json.Marshal(req)
	assert.NilError(tb, err)
	return httptest.NewRequest(http.MethodPost, "/endpoints/"+endpoint+"/samples", bytes.NewReader(body))
}

// BenchmarkStream measures the cost of forwarding a live stream, per token.
func BenchmarkStream(b *testing.B) {
	at, err := attendant.New(attendant.Options{Endpoints: []attendant.EndpointOptions{
		{Engine: instant(false, nil), Name: "marker-1", Service: "marker-llm"},
	}})
	assert.NilError(b, err)
	body, err := json.Marshal(engine.GenerateRequest{MaxTokens: benchTokens, Prompt: "mark"})
	assert.NilError(b, err)
	for b.Loop() {
		rq := httptest.NewRequest(http.MethodPost, "/endpoints/marker-1/stream", bytes.NewReader(body))
		rq.Header.Set(message.RequestIDHeader, "s")
		rw := httptest.NewRecorder()
		at.ServeHTTP(rw, rq)
		assert.Equal(b, rw.Code, http.StatusOK)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*benchTokens), "ns/token")
}

// BenchmarkCall measures the cost of forwarding a live call.
func BenchmarkCall(b *testing.B) {
	client := &plainservice.Client{
		CallFunc: func(context.Context, plainservice.Request) (plainservice.Response, error) {
			return plainservice.Response{Body: io.NopCloser(strings.NewReader("open")), Status: http.StatusOK}, nil
		},
	}
	at, err := attendant.New(attendant.Options{Endpoints: []attendant.EndpointOptions{
		{Name: "gate-1", Plain: client, Service: "gate-api"},
	}})
	assert.NilError(b, err)
	for b.Loop() {
		rq := httptest.NewRequest(http.MethodGet, "/endpoints/gate-1/call/cards/7", nil)
		rq.Header.Set(message.RequestIDHeader, "c")
		rq.Header.Set(repeatable, "yes")
		rq.Header.Set(message.DeadlineHeader, "1s")
		rw := httptest.NewRecorder()
		at.ServeHTTP(rw, rq)
		assert.Equal(b, rw.Code, http.StatusOK)
	}
}
