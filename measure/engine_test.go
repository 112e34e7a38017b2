package measure

import (
	"container/list"
	"slices"
	"time"

	"wisteriacroft/engine"
)

// A Work is a request at an engine.
type Work struct {
	id       string
	length   int
	made     int // tokens, including those generated elsewhere
	prefill  int // steps before the next token
	prefix   string
	prompt   int              // tokens
	resumed  int              // tokens generated elsewhere
	cached   engine.Version   // of an imported KV cache; 0 means none
	segments []engine.Segment // of all tokens
}

// add adds tokens to the segment of a version.
func (wo *Work) add(tokens int, ve engine.Version) {
	wo.made += tokens
	if last := len(wo.segments) - 1; last >= 0 && wo.segments[last].Version == ve {
		wo.segments[last].Tokens += tokens
		return
	}
	wo.segments = append(wo.segments, engine.Segment{Tokens: tokens, Version: ve})
}

// An Engine is a fake model engine. It admits requests in arrival order, batches
// them continuously and caches a limited number of prompts.
type Engine struct {
	credit   float64    // fraction of a step that has passed
	cache    *list.List // prompts, most recently used first
	down     time.Time  // crashed until then
	id       string
	loading  engine.Version // 0 means none
	loaded   time.Time      // when the loading ends
	reported LoadReport
	running  []*Work
	se       EngineRow
	stalled  time.Time // generates nothing until then
	tally    EngineTally
	version  engine.Version
	waiting  []*Work
}

// A LoadReport is an engine's load at the time of its last report.
type LoadReport struct {
	at      time.Time
	running int
	waiting int
}

// An EngineTally counts an engine's prefix cache lookups.
type EngineTally struct {
	hits    int // prompts found in the cache
	lookups int
}

// NewEngine returns an engine that serves the first version.
func NewEngine(id string, row EngineRow) *Engine {
	return &Engine{cache: list.New(), id: id, se: row, version: 1}
}

// Up reports whether the engine accepts requests.
func (en *Engine) Up(now time.Time) bool { return !now.Before(en.down) }

// Admit enqueues a request.
func (en *Engine) Admit(wo *Work) { en.waiting = append(en.waiting, wo) }

// Cancel removes a request.
func (en *Engine) Cancel(id string) {
	drop := func(wo *Work) bool { return wo.id == id }
	en.running = slices.DeleteFunc(en.running, drop)
	en.waiting = slices.DeleteFunc(en.waiting, drop)
}

// Crash clears the engine's state and returns the lost requests.
func (en *Engine) Crash(until time.Time) []*Work {
	lost := slices.Concat(en.running, en.waiting)
	en.running, en.waiting, en.loading = nil, nil, 0
	en.cache = list.New()
	en.down = until
	return lost
}

// Load starts to load a version.
func (en *Engine) Load(now time.Time, ve engine.Version) {
	en.loading, en.loaded = ve, now.Add(time.Duration(en.se.LoadTime))
}

// Advance advances the engine by a tick and returns the completed requests.
func (en *Engine) Advance(now time.Time) []*Work {
	en.report(now)
	if !en.Up(now) || now.Before(en.stalled) {
		return nil
	}
	if en.loading != 0 {
		if now.Before(en.loaded) {
			return nil
		}
		en.version, en.loading = en.loading, 0
		en.cache = list.New()
	}
	growth := 1 + en.se.StepGrowth*float64(max(0, len(en.running)-1))
	en.credit += float64(Tick) / (float64(en.se.StepTime) * growth)
	if en.credit < 1 {
		return nil
	}
	en.credit--
	return en.step()
}

// step admits waiting requests and generates the next tokens of each running one.
func (en *Engine) step() []*Work {
	for len(en.waiting) > 0 && len(en.running) < en.se.MaxRunning {
		wo := en.waiting[0]
		en.waiting = en.waiting[1:]
		wo.prefill = en.prefill(wo)
		en.running = append(en.running, wo)
	}
	var done []*Work
	for _, wo := range en.running {
		if wo.prefill > 0 {
			wo.prefill--
			continue
		}
		wo.add(min(en.se.TokensPerStep, wo.length-wo.made), en.version)
		if wo.made >= wo.length {
			done = append(done, wo)
		}
	}
	en.running = slices.DeleteFunc(en.running, func(wo *Work) bool { return wo.made >= wo.length })
	return done
}

// prefill returns how many steps a request takes before its first token.
func (en *Engine) prefill(wo *Work) int {
	size := wo.prompt + wo.made
	hit := en.touchPrefix(wo.prefix)
	if wo.prefix != "" {
		en.tally.lookups++
	}
	switch {
	case wo.cached == en.version:
		size = 0
	case hit:
		en.tally.hits++
		size = wo.made
	}
	return size / en.se.PrefillPerStep
}

// touchPrefix moves a prompt to the front of the cache and reports whether it was cached.
func (en *Engine) touchPrefix(prefix string) bool {
	if prefix == "" {
		return false
	}
	for el := en.cache.Front(); el != nil; el = el.Next() {
		if el.Value == prefix {
			en.cache.MoveToFront(el)
			return true
		}
	}
	en.cache.PushFront(prefix)
	if en.cache.Len() > en.se.CachePrefixes {
		en.cache.Remove(en.cache.Back())
	}
	return false
}

// report updates the reported load, once each report lag.
func (en *Engine) report(now time.Time) {
	if now.Sub(en.reported.at) >= time.Duration(en.se.ReportLag) {
		en.reported = LoadReport{at: now, running: len(en.running), waiting: len(en.waiting)}
	}
}
