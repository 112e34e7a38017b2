package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// longRoute is a route of requests that servers work on for seconds.
func longRoute() route {
	return route(fmt.Sprintf(`{"name":"r-long","host":%q,"prefix":"/long/","kind":"safe","timeout_ms":10000,"goal_ms":4500,"priority":1,`+
		`"service":%q,"max_attempts":2}`, host, webService))
}

// ask sends a request by a transport, and reports whether it went by a kept channel.
func (w *world) ask(ctx context.Context, tr *http.Transport, front *process, id string) (kept bool, err error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(in httptrace.GotConnInfo) { kept = in.Reused }})
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, w.front(front)+"/long/"+id, strings.NewReader(id))
	if err != nil {
		return kept, err
	}
	rq.Host, rq.GetBody = host, nil
	rq.Header.Set(attemptID, id)
	rq.Header.Set("X-Deadline-Ms", "9000")
	begun, status := time.Now(), 0
	an, err := tr.RoundTrip(rq)
	if err == nil {
		status = an.StatusCode
		_, err = io.Copy(io.Discard, an.Body)
		_ = an.Body.Close()
	}
	w.rec.note("consumer: %s sent at %.3f on a kept channel: %v, %d %v", id, begun.Sub(w.rec.begun).Seconds(), kept, status, err)
	return kept, err
}

// playDrain stops an entry, and sends it a request on each of some kept channels shortly before it closes them.
func playDrain(ctx context.Context, w *world, trouble bool) (verdict, error) {
	const consumers, after = 6, 3200 * time.Millisecond
	de, err := w.deploy(ctx, plan{
		fronts: 2, plain: traits{answer: 4 * time.Second, slots: 6}, plains: 3, routes: []route{longRoute()}, slots: 12,
	})
	if err != nil {
		return verdict{}, err
	}
	front := de.fronts[0]
	var stopped time.Time
	var cut, keptCount atomic.Int64
	var first, second sync.WaitGroup
	first.Add(consumers)
	stop := make(chan struct{})
	for i := range consumers {
		second.Go(func() {
			tr := &http.Transport{DisableCompression: true}
			defer tr.CloseIdleConnections()
			_, err := w.ask(ctx, tr, front, fmt.Sprintf("first-%d", i))
			first.Done()
			if err != nil {
				return
			}
			<-stop
			time.Sleep(time.Until(stopped.Add(after)))
			kept, err := w.ask(ctx, tr, front, fmt.Sprintf("second-%d", i))
			if kept {
				keptCount.Add(1)
			}
			if err != nil {
				cut.Add(1)
			}
		})
	}
	first.Wait()
	time.Sleep(time.Second)
	stopped = time.Now()
	if trouble {
		front.send(syscall.SIGTERM, "planned restart")
	}
	close(stop)
	second.Wait()
	runs, _ := w.allRuns()
	w.rec.say("%d of %d requests on %d kept channels got no answer; servers ran %d in all", cut.Load(), consumers, keptCount.Load(), len(runs))
	if len(runs) < 2*consumers {
		return verdict{}, fmt.Errorf("only %d requests ran", len(runs))
	}
	return verdict{cut.Load() > 0, fmt.Sprintf("LOST: %d whole requests that servers ran ended without an answer", cut.Load())}, nil
}
