package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// schedulerOnAdded reports whether an added store machine receives the scheduler's role. DEPLOY.md: spare machines "receive no roles
// that are assigned by `count`, and they receive the other roles according to their share".
func (w *world) schedulerOnAdded() (bool, error) {
	data, err := os.ReadFile(filepath.Join(w.root, "deploy", "system.toml"))
	if err != nil {
		return false, err
	}
	var deploy struct {
		Roles map[string]struct {
			Count int
			On    string
			Share float64
		}
	}
	if err := toml.Unmarshal(data, &deploy); err != nil {
		return false, err
	}
	ro := deploy.Roles["scheduler"]
	w.rec.say("deploy/system.toml: the scheduler's role is on %s, share %v, count %d", ro.On, ro.Share, ro.Count)
	return ro.Share > 0, nil
}

// addStore adds a store machine.
func (w *world) addStore(number int, scheduler bool) error {
	name := fmt.Sprintf("store-%d", number)
	w.rec.say("platform: adds the machine %s, with the scheduler's role: %v", name, scheduler)
	if !scheduler {
		return nil // it runs nothing
	}
	_, err := w.launch("scheduler", "store", name, fmt.Sprintf("%s%d", w.net, 20+number))
	return err
}

// retire asks for a store machine to be emptied, and removes it when the system says that it is.
func (w *world) retire(pr *process) error {
	w.put("op/retire/"+pr.name, map[string]any{"duration_s": 10})
	w.rec.say("operator: asks for %s to be emptied", pr.name)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		it, err := w.store.Memory.Client().Get(w.ctx, "status/retire/"+pr.name)
		var status struct {
			State string `json:"state"`
		}
		if err == nil && json.Unmarshal(it.Value, &status) == nil && status.State == "completed" {
			pr.remove()
			w.rec.say("platform: %s is emptied and removed", pr.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not emptied", pr.name)
}

// replaceStores adds three store machines and has two of the former ones emptied and removed, one after the other.
func (w *world) replaceStores(de *deployment) error {
	scheduler, err := w.schedulerOnAdded()
	if err != nil {
		return err
	}
	for number := 4; number <= 6; number++ {
		if err := w.addStore(number, scheduler); err != nil {
			return err
		}
	}
	time.Sleep(calmFor)
	for _, pr := range de.schedulers[:2] {
		if err := w.retire(pr); err != nil {
			return err
		}
		time.Sleep(calmFor)
	}
	return nil
}

// calmFor is the time between two steps of planned work: catch_up_s of the sheet is 5.6 s.
const calmFor = 6 * time.Second

// playRetire replaces the three store machines by three others, as planned work, while a trainer asks for steps.
func playRetire(ctx context.Context, w *world, trouble bool) (verdict, error) {
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
	last := make(chan error, 1)
	if trouble {
		if err := w.replaceStores(de); err != nil {
			return verdict{}, err
		}
		time.AfterFunc(500*time.Millisecond, func() { last <- w.retire(de.schedulers[2]) })
	} else {
		last <- nil
	}
	tr.disturbed = time.Now().Add(time.Second)
	for number := 1; number <= 4; number++ {
		ve, err := tr.step(ctx, number)
		if number == 1 && err == nil {
			err = <-last
		}
		if err != nil || ve.broken {
			return ve, err
		}
	}
	return verdict{false, "all steps were served"}, nil
}
