package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// A count counts the requests of consumers by the time at which they were sent.
type count struct {
	mu     sync.Mutex
	sent   []time.Time
	served []bool
}

func (co *count) add(sent time.Time, served bool) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.sent, co.served = append(co.sent, sent), append(co.served, served)
}

// between returns how many requests were sent in a time, and how many of them were served.
func (co *count) between(from, to time.Time) (sent, served int) {
	co.mu.Lock()
	defer co.mu.Unlock()
	for i, at := range co.sent {
		if at.Before(from) || !at.Before(to) {
			continue
		}
		sent++
		if co.served[i] {
			served++
		}
	}
	return sent, served
}

// safeRoute is the route of the lookups, with the figures of the site's sheet.
func safeRoute() route {
	return route(fmt.Sprintf(`{"name":"r-safe","host":%q,"prefix":"/card/","kind":"safe","timeout_ms":2000,"goal_ms":150,"priority":2,`+
		`"service":%q,"max_attempts":2}`, host, webService))
}

// consume sends the same lookup again and again, as consumers do that ask for one card. A refused request is tried once more.
func (w *world) consume(ctx context.Context, name string, fronts []*process, co *count) {
	for n := 0; ctx.Err() == nil; n++ {
		begun, served := time.Now(), false
		for try := range 2 {
			id := fmt.Sprintf("%s-%d-%d", name, n, try)
			url := w.front(fronts[(n+try)%len(fronts)]) + "/card/7"
			status, _, err := call(ctx, http.MethodGet, url, nil, map[string]string{attemptID: id, "X-Deadline-Ms": "2000"}, 2500*time.Millisecond)
			w.rec.note("consumer: %s: %d %v", id, status, err)
			if served = err == nil && status == http.StatusOK; served {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		co.add(begun, served)
		time.Sleep(max(0, 200*time.Millisecond-time.Since(begun)) + rand.N(200*time.Millisecond))
	}
}

// playHot crashes all servers of a service while consumers ask for the same card, and then kills all processes.
func playHot(ctx context.Context, w *world, trouble bool) (verdict, error) {
	de, err := w.deploy(ctx, plan{
		fronts: 2, plain: traits{answer: 100 * time.Millisecond, slots: 6}, plains: 3, routes: []route{safeRoute()}, slots: 12,
	})
	if err != nil {
		return verdict{}, err
	}
	co := &count{}
	begun := time.Now()
	consuming, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range 30 {
		go w.consume(consuming, fmt.Sprintf("c%d", i), de.fronts, co)
	}
	time.Sleep(15 * time.Second)
	fault := time.Now().Add(1500 * time.Millisecond)
	if trouble {
		for _, se := range de.plain {
			se.crash()
		}
	}
	time.Sleep(time.Until(fault))
	if trouble {
		for _, se := range de.plain {
			if err := se.start(); err != nil {
				return verdict{}, err
			}
		}
	}
	w.mu.Lock()
	procs := w.procs
	w.mu.Unlock()
	for _, pr := range procs {
		pr.kill("final fault")
	}
	time.Sleep(2 * time.Second)
	back := time.Now()
	time.Sleep(27 * time.Second)
	cancel()
	sent, served := co.between(begun, fault)
	later, ok := co.between(back.Add(12*time.Second), time.Now().Add(-3*time.Second))
	w.rec.say("before the final fault %d of %d requests were served, later than 12 s after the machines were back %d of %d", served, sent, ok, later)
	if later < 20 || 4*served < sent {
		return verdict{}, fmt.Errorf("too few requests")
	}
	return verdict{4*ok < later, fmt.Sprintf("RECOVER: %d of %d requests served", ok, later)}, nil
}

// playSettings changes the settings file of an entry, with a SIGHUP, while it drains after a SIGTERM.
func playSettings(ctx context.Context, w *world, trouble bool) (verdict, error) {
	de, err := w.deploy(ctx, plan{
		fronts: 2, plain: traits{answer: 400 * time.Millisecond, slots: 6}, plains: 3, routes: []route{safeRoute()}, slots: 12,
	})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second) // the entry is in touch
	front := de.fronts[0]
	var mu sync.Mutex
	var wg sync.WaitGroup
	cut := 0
	ask := func(i int) {
		wg.Go(func() {
			id := fmt.Sprintf("card-%d", i)
			begun := time.Now()
			status, _, err := call(ctx, http.MethodPost, w.front(front)+"/card/"+id, []byte(id), map[string]string{attemptID: id, "X-Deadline-Ms": "2000"}, 2500*time.Millisecond)
			w.rec.note("consumer: %s sent at %.3f: %d %v", id, begun.Sub(w.rec.begun).Seconds(), status, err)
			if err != nil {
				mu.Lock()
				cut++
				mu.Unlock()
			}
		})
	}
	front.send(syscall.SIGTERM, "planned restart")
	time.Sleep(300 * time.Millisecond)
	for i := range 4 {
		ask(i)
		time.Sleep(60 * time.Millisecond)
	}
	if trouble {
		front.send(syscall.SIGHUP, "the settings file has changed")
	}
	wg.Wait()
	runs, _ := w.allRuns()
	w.rec.say("%d of 4 requests that were passed on to servers (%d runs) got no answer", cut, len(runs))
	if len(runs) < 4 {
		return verdict{}, fmt.Errorf("only %d requests ran", len(runs))
	}
	return verdict{cut > 0, fmt.Sprintf("LOST: %d whole requests ended without an answer under planned work only", cut)}, nil
}
