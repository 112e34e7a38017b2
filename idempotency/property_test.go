package idempotency

import (
	"flag"
	"maps"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"wisteriacroft/outcome"
)

const skew = 2 * time.Second

// A world is three homes with skewed clocks, two entries, callers with arbitrary clocks, and a
// configuration that each process receives at a different time.
type world struct {
	barred  map[Key]bool // permanently refused as not run
	entries [2]int       // index into sets of the set by which each entry routes
	homes   map[string]*home
	keys    []Key // keys minted by callers
	minted  map[Key]string
	now     time.Time
	runs    map[Key]int
	sets    []EndpointSet
}

// A home is an attendant; its table is replaced at each restart.
type home struct {
	admitted map[Key]bool // not yet started
	offset   time.Duration
	set      int // index of the latest set received
	started  map[Key]bool
	table    *Table
	yielded  uint64
}

func newWorld() *world {
	wo := &world{
		barred: map[Key]bool{},
		homes:  map[string]*home{},
		minted: map[Key]string{},
		now:    time.UnixMilli(1_700_000_000_000),
		runs:   map[Key]int{},
		sets:   []EndpointSet{{Endpoints: []string{"a", "b"}, Revision: 1}},
	}
	for i, name := range []string{"a", "b", "c"} {
		wo.homes[name] = &home{offset: time.Duration(i-1) * skew / 2}
		wo.restart(name, 0)
	}
	wo.now = wo.now.Add(10 * time.Second)
	return wo
}

// testKey returns a key that depends only on its arguments.
func testKey(at time.Time, n int) Key {
	ke := Key{id: uuid.NewSHA1(uuid.Nil, []byte{byte(n), byte(n >> 8)})}
	ms := at.UnixMilli()
	for i := timeSize - 1; i >= 0; i-- {
		ke.id[i] = byte(ms)
		ms >>= 8
	}
	return ke
}

func (wo *world) clock(name string) time.Time { return wo.now.Add(wo.homes[name].offset) }

func (wo *world) restart(name string, set int) {
	for ke, to := range wo.minted {
		if to == name {
			wo.minted[ke] = name + "!" // the connection closed with the process
		}
	}
	ho := wo.homes[name]
	ho.admitted, ho.started = map[Key]bool{}, map[Key]bool{}
	ho.table = NewTable(Options{Endpoint: name, Keep: time.Minute, MaxKeys: 8, Skew: skew, Started: wo.clock(name)})
	wo.setHomes(name, set)
}

func (wo *world) setHomes(name string, set int) {
	ho := wo.homes[name]
	ho.set = set
	ho.table.SetHomes(wo.clock(name), wo.sets[set], wo.sets[:set])
}

// send delivers a request to a home and checks the decision against what has run.
func (wo *world) send(t *rapid.T, name string, req Request) {
	ho := wo.homes[name]
	de := ho.table.Begin(wo.clock(name), req)
	switch {
	case de.Run:
		ho.admitted[req.Key] = true
	case de.Refusal != nil && de.Refusal.Outcome() == outcome.NotRun:
		if wo.runs[req.Key] > 0 {
			t.Fatalf("%s was refused as not run (%s) but has run", req.Key, de.Refusal)
		}
		wo.barred[req.Key] = wo.barred[req.Key] || req.Ask
	}
}

// write starts an admitted request.
func (wo *world) write(t *rapid.T, ho *home, ke Key) {
	delete(ho.admitted, ke)
	ho.started[ke] = true
	wo.runs[ke]++
	if wo.runs[ke] > 1 || wo.barred[ke] {
		t.Fatalf("%s has run %d times; refused as not run: %t", ke, wo.runs[ke], wo.barred[ke])
	}
}

func (wo *world) draw(t *rapid.T) (string, *home) {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "home")
	return name, wo.homes[name]
}

func (wo *world) drawKey(t *rapid.T, keys map[Key]bool) (Key, bool) {
	for _, ke := range wo.keys {
		if keys[ke] && rapid.Bool().Draw(t, "this one") {
			return ke, true
		}
	}
	return Key{}, false
}

func (wo *world) mint(at time.Time) Key {
	ke := testKey(at, len(wo.keys))
	wo.keys = append(wo.keys, ke)
	return ke
}

// callerActions are the actions of callers that mint their own keys.
func (wo *world) callerActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			wo.now = wo.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
		},
		"mint": func(t *rapid.T) {
			off := rapid.SampledFrom([]int{0, 0, 0, 1, 2, -1, 3, -3, 7, -30, 3600}).Draw(t, "caller's clock")
			wo.mint(wo.now.Add(time.Duration(off) * time.Second))
		},
		"send": func(t *rapid.T) {
			for _, ke := range wo.keys[max(0, len(wo.keys)-6):] {
				for _, en := range wo.entries {
					set := wo.sets[en]
					if wo.minted[ke] == "" && rapid.Bool().Draw(t, "by this entry") {
						wo.send(t, ke.Home(set.Endpoints), Request{Key: ke, Revision: set.Revision})
					}
				}
			}
		},
	}
}

// mintedActions are the actions on requests whose keys were minted by an entry.
func (wo *world) mintedActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"send minted": func(t *rapid.T) { // delivered later, or never
			name, _ := wo.draw(t)
			wo.minted[wo.mint(wo.now)] = name
		},
		"deliver": func(t *rapid.T) {
			for _, ke := range wo.keys {
				if name := wo.minted[ke]; name != "" && rapid.Bool().Draw(t, "this one") {
					wo.minted[ke] = name + "!" // delivered at most once
					if len(name) == 1 {
						wo.send(t, name, Request{Key: ke, Minted: true})
					}
				}
			}
		},
		"ask": func(t *rapid.T) {
			for _, ke := range wo.keys {
				if name := wo.minted[ke]; name != "" && rapid.Bool().Draw(t, "this one") {
					wo.send(t, name[:1], Request{Ask: true, Key: ke, Minted: true})
				}
			}
		},
	}
}

// endpointActions are the actions on requests that a home has admitted.
func (wo *world) endpointActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"write": func(t *rapid.T) {
			for _, name := range []string{"a", "b", "c"} {
				ho := wo.homes[name]
				if ke, ok := wo.drawKey(t, ho.admitted); ok {
					wo.write(t, ho, ke)
				}
			}
		},
		"release": func(t *rapid.T) {
			name, ho := wo.draw(t)
			if ke, ok := wo.drawKey(t, ho.admitted); ok {
				delete(ho.admitted, ke)
				ho.table.Release(wo.clock(name), ke)
				if wo.runs[ke] > 0 {
					t.Fatalf("%s was released as not run but has run", ke)
				}
			}
		},
		"end": func(t *rapid.T) {
			name, ho := wo.draw(t)
			if ke, ok := wo.drawKey(t, ho.started); ok {
				delete(ho.started, ke)
				if rapid.Bool().Draw(t, "whole") {
					ho.table.Finish(wo.clock(name), ke, &Response{})
				} else {
					ho.table.MarkUnknown(wo.clock(name), ke)
				}
			}
		},
	}
}

// faultActions are configuration changes, clock changes and restarts.
func (wo *world) faultActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"change set": func(t *rapid.T) {
			sets := [][]string{{"a"}, {"b"}, {"a", "b"}, {"b", "c"}, {"c"}}
			names := rapid.SampledFrom(sets).Draw(t, "set")
			wo.sets = append(wo.sets, EndpointSet{Endpoints: names, Revision: uint64(len(wo.sets) + 1)})
		},
		"home learns":  func(t *rapid.T) { name, _ := wo.draw(t); wo.setHomes(name, len(wo.sets)-1) },
		"entry learns": func(t *rapid.T) { wo.entries[rapid.IntRange(0, 1).Draw(t, "entry")] = len(wo.sets) - 1 },
		"restart": func(t *rapid.T) {
			name, ho := wo.draw(t)
			ho.offset = time.Duration(rapid.IntRange(-1, 1).Draw(t, "clock")) * skew / 2
			least := max(ho.set, int(ho.yielded)-1) // a home never returns to an older set
			wo.restart(name, rapid.IntRange(least, len(wo.sets)-1).Draw(t, "set"))
		},
		"settle": func(t *rapid.T) {
			name, ho := wo.draw(t)
			revision := wo.sets[ho.set].Revision
			for _, former := range ho.table.PendingYields() {
				wo.homes[former].table.Yield(revision)
				wo.homes[former].yielded = max(wo.homes[former].yielded, revision)
				ho.table.RecordYield(wo.clock(name), former, revision)
			}
		},
		"tick": func(t *rapid.T) { name, ho := wo.draw(t); ho.table.Expire(wo.clock(name)) },
	}
}

func (wo *world) actions() map[string]func(*rapid.T) {
	all := wo.callerActions()
	maps.Copy(all, wo.mintedActions())
	maps.Copy(all, wo.endpointActions())
	maps.Copy(all, wo.faultActions())
	return all
}

// Guards against a key that runs twice, or runs after a final not-run, under any order of repeats,
// restarts, clock skew and moves of its home.
func TestNoKeyRunsTwice(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true", "rapid.steps": "200"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	ran := 0
	rapid.Check(t, func(t *rapid.T) {
		wo := newWorld()
		t.Repeat(wo.actions())
		ran += len(wo.runs)
	})
	if ran < 3000 {
		t.Fatalf("only %d keys ran: too few to verify the rules", ran)
	}
	t.Logf("%d keys ran", ran)
}
