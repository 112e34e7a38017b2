package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// slowDial opens a channel with a small window, as the links of the platform have it.
func slowDial(ctx context.Context, address string) (net.Conn, error) {
	di := net.Dialer{Control: func(_, _ string, rc syscall.RawConn) error {
		return rc.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 536)
		})
	}}
	return di.DialContext(ctx, "tcp", address)
}

// memory returns the resident memory of a process in MB.
func (pr *process) memory() int {
	pr.mu.Lock()
	pid := pr.command.Process.Pid
	pr.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// A watchdog kills an entry that uses more memory than its machine has, as the platform does.
type watchdog struct {
	kills atomic.Int64
	most  atomic.Int64 // MB
}

func (wd *watchdog) run(ctx context.Context, pr *process, limit int) {
	for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		used := pr.memory()
		wd.most.Store(max(wd.most.Load(), int64(used)))
		if used > limit {
			wd.kills.Add(1)
			pr.kill(fmt.Sprintf("it uses %d MB, and its machine has %d", used, limit))
			time.Sleep(2 * restartDelay)
		}
	}
}

// read reads the results of a step on a channel of its own, slowly or not.
func (lo *lot) readAll(ctx context.Context, front *process, slowly bool) error {
	address := fmt.Sprintf("%s:%d", front.ip, lo.w.port+portFront)
	var di net.Dialer
	dial := func() (net.Conn, error) { return di.DialContext(ctx, "tcp", address) }
	if slowly {
		dial = func() (net.Conn, error) { return slowDial(ctx, address) }
	}
	co, err := dial()
	if err != nil {
		return err
	}
	defer co.Close()
	if _, err := fmt.Fprintf(co, "GET /v1/lots/%s?after=0 HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", lo.id, host); err != nil {
		return err
	}
	for buf := make([]byte, 2048); ctx.Err() == nil; {
		_, err := co.Read(buf)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case slowly:
			time.Sleep(20 * time.Millisecond)
		}
	}
	return ctx.Err()
}

// lookUp sends one lookup after the other on a kept channel, and counts those that are passed on to a server and get no answer.
func (w *world) lookUp(ctx context.Context, name string, front *process, cut *atomic.Int64) {
	tr := &http.Transport{DisableCompression: true}
	defer tr.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		rq, err := http.NewRequestWithContext(ctx, http.MethodPost, w.front(front)+"/card/"+id, strings.NewReader(id))
		if err != nil {
			return
		}
		rq.Host, rq.GetBody = host, nil
		rq.Header.Set(attemptID, id)
		rq.Header.Set("X-Deadline-Ms", "2000")
		an, err := tr.RoundTrip(rq)
		if err == nil {
			_, err = io.Copy(io.Discard, an.Body)
			_ = an.Body.Close()
		}
		if err != nil && ctx.Err() == nil {
			w.rec.note("consumer: %s: %v", id, err)
			if runs, _ := w.allRuns(); slices.ContainsFunc(runs, func(ru run) bool { return ru.id == id }) {
				cut.Add(1)
			}
			time.Sleep(time.Second)
		}
	}
}

// playSlow lets consumers read the results of a step slowly, while others look cards up on kept channels.
func playSlow(ctx context.Context, w *world, trouble bool) (verdict, error) {
	const memory, readers = 144, 200
	w.memory = memory
	de, err := w.deploy(ctx, plan{
		engine:  traits{events: func(string) int { return 22 }, gap: 20 * time.Millisecond, size: 350},
		engines: 4, fronts: 1, plain: traits{answer: 60 * time.Millisecond, slots: 12}, plains: 3,
		routes: []route{rolloutRoute(), safeRoute()}, slots: 12,
	})
	if err != nil {
		return verdict{}, err
	}
	front := de.fronts[0]
	wd := &watchdog{}
	go wd.run(ctx, front, memory)
	items, groups := groupsOf("s", 22, 8)
	lo := &lot{entries: de.fronts, groups: groups, id: "lot", items: items, oldest: 1, prefix: "/assess/", target: 22, w: w}
	if err := lo.submit(ctx); err != nil {
		return verdict{}, err
	}
	lo.follow(ctx, lo.accepted.Add(20*time.Second), func() bool { return lo.served(nil) })
	lo.end(ctx)
	var cut, whole atomic.Int64
	looking, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range 12 {
		go w.lookUp(looking, fmt.Sprintf("c%d", i), front, &cut)
	}
	time.Sleep(4 * time.Second) // the entry is in touch
	w.rec.say("%d of %d items listed; the entry uses %d MB of %d", len(lo.listed), len(lo.items), front.memory(), memory)
	for range readers {
		go func() {
			if err := lo.readAll(looking, front, trouble); err == nil {
				whole.Add(1)
			}
		}()
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	cancel()
	w.rec.say("%d readers, %d of them done; the entry used up to %d MB, was killed %d times; %d lookups that a server ran got no answer",
		readers, whole.Load(), wd.most.Load(), wd.kills.Load(), cut.Load())
	return verdict{cut.Load() > 3, fmt.Sprintf("LOST: %d lookups on kept channels were passed on and their channels closed", cut.Load())}, nil
}
