package main

import (
	"context"
	"syscall"
	"time"
)

// playAttendant restarts the attendants of five of six model servers in turn, as planned work, each shortly before a trainer asks for a
// step.
func playAttendant(ctx context.Context, w *world, trouble bool) (verdict, error) {
	const engines, slots = 6, 12
	de, err := w.deploy(ctx, plan{
		engine:  traits{events: func(string) int { return 27 }, gap: 50 * time.Millisecond, size: 350},
		engines: engines, fronts: 2, routes: []route{rolloutRoute()}, slots: slots,
	})
	if err != nil {
		return verdict{}, err
	}
	wa := &watch{slots: engines * slots, w: w}
	go wa.run(ctx)
	tr := &trainer{de: de, w: w, watch: wa}
	if _, err := tr.step(ctx, 0); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	for number := 1; number <= 5; number++ {
		if trouble {
			de.attendants[number-1].send(syscall.SIGTERM, "planned restart")
		}
		time.Sleep(400 * time.Millisecond)
		tr.disturbed = time.Now().Add(time.Second) // the attendant is back by then
		if ve, err := tr.step(ctx, number); err != nil || ve.broken {
			return ve, err
		}
	}
	return verdict{false, "all steps were served"}, nil
}
