package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// silence is how long the entry of a server that says nothing stays: three heartbeats.
const silence = 3600 * time.Millisecond

// A run is the work of a server on one request.
type run struct {
	after  int // events that the caller had
	begun  time.Time
	end    string // how it ended; empty while it runs
	ended  time.Time
	id     string
	server string
}

// Traits are what servers of a service have in common.
type traits struct {
	answer time.Duration       // work of a plain request
	events func(id string) int // of a model server's answer
	gap    time.Duration       // between two events
	size   int                 // bytes of an event
	slots  int
}

// A server is a model server or a plain one. It follows PROTOCOL.md.
type server struct {
	traits
	ip      string
	service string
	w       *world

	mu      sync.Mutex
	active  int
	http    *http.Server
	id      string // of the current lifetime
	life    int
	runs    []*run
	seq     uint64
	version uint64
}

// serve starts a server's first lifetime.
func (w *world) serve(se *server) (*server, error) {
	se.w, se.version = w, 1
	w.mu.Lock()
	w.servers = append(w.servers, se)
	w.mu.Unlock()
	return se, se.start()
}

// start starts a lifetime of the server, under a new id at the same address.
func (se *server) start() error {
	address := fmt.Sprintf("%s:%d", se.ip, se.w.port+portServer)
	li, err := listen(se.w.ctx, address)
	if err != nil {
		return err
	}
	se.mu.Lock()
	se.life++
	se.id = fmt.Sprintf("i-%08x", rand.Uint32())
	se.active, se.seq = 0, 0
	se.http = &http.Server{Handler: http.HandlerFunc(se.handle), ReadHeaderTimeout: time.Minute}
	sv, id := se.http, se.id
	se.mu.Unlock()
	go func() { _ = sv.Serve(li) }()
	se.w.rec.note("server %s (%s at %s) starts", id, se.service, address)
	se.register()
	return nil
}

// register writes the server's entry.
func (se *server) register() {
	se.mu.Lock()
	entry := map[string]any{
		"service": se.service, "address": fmt.Sprintf("%s:%d", se.ip, se.w.port+portServer), "zone": zoneName, "version": "v1",
		"slots": se.slots, "state": "ready", "cold_left_ms": 0, "seq": se.life,
	}
	if se.service == llmService {
		entry["stage"], entry["models"] = "both", []map[string]any{{"name": modelName, "version": se.version}}
	}
	id := se.id
	se.mu.Unlock()
	se.w.put("servers/"+id, entry)
}

// crash ends the lifetime: all connections break, new ones are refused. The entry stays for three heartbeats.
func (se *server) crash() {
	se.mu.Lock()
	sv, id := se.http, se.id
	if sv == nil {
		se.mu.Unlock()
		return
	}
	se.http = nil
	se.life++
	for _, ru := range se.runs {
		if ru.end == "" {
			ru.end, ru.ended = "crash", time.Now()
		}
	}
	se.mu.Unlock()
	_ = sv.Close()
	se.w.rec.note("server %s crashes", id)
	time.AfterFunc(silence, func() { se.w.remove("servers/" + id) })
}

func (se *server) handle(rw http.ResponseWriter, rq *http.Request) {
	se.mu.Lock()
	id, life := se.id, se.life
	se.mu.Unlock()
	rw.Header().Set(attemptID, rq.Header.Get(attemptID))
	if expect := rq.Header.Get("X-Expect-Instance"); expect != "" && expect != id {
		rw.Header().Set("X-Instance-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch rq.URL.Path {
	case "/v1/report":
		se.report(rw)
	case "/v1/order":
		se.order(rw, rq, life)
	case "/health":
		rw.Header().Set("X-Instance-Id", id)
	default:
		se.work(rw, rq, id, life)
	}
}

func (se *server) report(rw http.ResponseWriter) {
	se.mu.Lock()
	defer se.mu.Unlock()
	rw.Header().Set(contentType, jsonType)
	_, _ = fmt.Fprintf(rw, `{"stage":"both","models":[{"name":%q,"version":%d,"adapters":[]}],"busy":false,"seq":%d,"queued":0,`+
		`"active":%d,"kv_used":%d,"kv_total":46422,"handles":0}`, modelName, se.version, se.seq, se.active, 500*se.active)
}

// order loads the version that the trainer named last, at once.
func (se *server) order(rw http.ResponseWriter, rq *http.Request, life int) {
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	_, text, _ := strings.Cut(string(body), `"version":`)
	digits := strings.TrimLeft(text, "0123456789")
	version, err := strconv.ParseUint(text[:len(text)-len(digits)], 10, 64)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	se.mu.Lock()
	if se.life == life {
		se.seq++
		se.version = version
	}
	se.mu.Unlock()
	se.w.rec.note("server %s loads version %d", se.id, version)
	rw.WriteHeader(http.StatusAccepted)
	se.register()
}

// begin takes a slot for a request.
func (se *server) begin(rq *http.Request, id string, life int) *run {
	after, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id")) // none: from the start
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.life != life || se.active >= se.slots {
		return nil
	}
	se.active++
	ru := &run{after: after, begun: time.Now(), id: rq.Header.Get(attemptID), server: id}
	se.runs = append(se.runs, ru)
	return ru
}

func (se *server) finish(ru *run, life int, how string) {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.life != life {
		return
	}
	se.active--
	ru.end, ru.ended = how, time.Now()
}

// current reports whether a lifetime goes on.
func (se *server) current(life int) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.life == life
}

func (se *server) work(rw http.ResponseWriter, rq *http.Request, id string, life int) {
	if _, err := io.Copy(io.Discard, rq.Body); err != nil {
		return
	}
	ru := se.begin(rq, id, life)
	if ru == nil {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	how := "cut"
	defer func() {
		se.finish(ru, life, how)
		se.w.rec.note("server %s: %s of %s after event %d", id, how, ru.id, ru.after)
	}()
	if se.service == llmService {
		if se.stream(rw, rq, ru, life) {
			how = "end"
		}
		return
	}
	if !sleep(rq, se.answer) || !se.current(life) {
		panic(http.ErrAbortHandler)
	}
	body := "answer of " + id + " to " + ru.id
	rw.Header().Set("X-Response-Stamp", "stamp-"+id+"-"+ru.id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(rw, body)
	how = "end"
}

// stream writes a request's events from the one after those that the caller has.
func (se *server) stream(rw http.ResponseWriter, rq *http.Request, ru *run, life int) bool {
	se.mu.Lock()
	version := se.version
	se.mu.Unlock()
	rw.Header().Set("X-Weight-Versions", strconv.FormatUint(version, 10))
	rw.Header().Set("X-Response-Stamp", "stamp-"+ru.server+"-"+ru.id)
	rw.Header().Set(contentType, "text/event-stream")
	flush := http.NewResponseController(rw)
	for event := ru.after + 1; event <= se.events(ru.id); event++ {
		if !sleep(rq, se.gap) || !se.current(life) {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", event, text(ru.id, event, se.size)); err != nil {
			panic(http.ErrAbortHandler)
		}
		if flush.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	return true
}

// text returns the data of an event, the same at each server.
func text(id string, event, size int) string {
	word := fmt.Sprintf("%s/%d ", id, event)
	return strings.Repeat(word, size/len(word)+1)[:size]
}

// sleep waits, and reports whether the request's channel is still open.
func sleep(rq *http.Request, wait time.Duration) bool {
	select {
	case <-rq.Context().Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// allRuns returns the runs of all servers, and how many requests are at work.
func (w *world) allRuns() (runs []run, active int) {
	w.mu.Lock()
	servers := w.servers
	w.mu.Unlock()
	for _, se := range servers {
		se.mu.Lock()
		for _, ru := range se.runs {
			runs = append(runs, *ru)
		}
		active += se.active
		se.mu.Unlock()
	}
	return runs, active
}
