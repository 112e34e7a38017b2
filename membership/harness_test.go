package membership_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/instancelist"
	"wisteriacroft/membership"
	"wisteriacroft/message"
	"wisteriacroft/peer"
)

const step = 100 * time.Millisecond

var errLost = errors.New("lost")

// A plant is entries and attendants that talk by direct calls, in one
// goroutine, with each message encoded as it would be on the wire.
type plant struct {
	attendants []*attendant
	entries    []*entry
	late       []late
	list       []instancelist.Instance
	log        strings.Builder
	lose       func(from, to, method string) bool
	sent       map[string]int // bytes sent and received, by instance
	messages   map[string]int // sent and received, by instance
	start      time.Time
}

// A late is the end of a call that gets no answer.
type late struct {
	at time.Time
	fn func()
}

type entry struct {
	dead        bool
	id          string
	incarnation uint64
	table       *membership.Table
}

type attendant struct {
	dead        bool
	id          string
	incarnation uint64
	reporter    *membership.Reporter
}

// newPlant returns a plant whose instances are spread over failure domains.
func newPlant(entries, attendants, endpoints, domains int) *plant {
	pl := &plant{
		lose: func(string, string, string) bool { return false },
		sent: map[string]int{}, messages: map[string]int{}, start: time.Now(),
	}
	for i := range entries {
		id := fmt.Sprintf("entry-%02d", i)
		pl.add(id, "entry", i%domains)
		en := &entry{id: id, incarnation: 1764696000}
		pl.restartEntry(en)
		pl.entries = append(pl.entries, en)
	}
	for i := range attendants {
		at := &attendant{id: fmt.Sprintf("attendant-%03d", i)}
		pl.add(at.id, "attendant", i%domains)
		pl.attendants = append(pl.attendants, at)
		pl.restart(at, i%domains, endpoints/attendants)
	}
	pl.poll()
	return pl
}

// restartEntry starts an entry with an empty table.
func (pl *plant) restartEntry(en *entry) {
	en.incarnation++
	he := message.Header{Incarnation: en.incarnation, Sender: en.id}
	en.table = &membership.Table{
		Address: en.id, Instance: en.id,
		SendExchangeFunc: func(to string, rq membership.ExchangeRequest, done func(membership.ExchangeResponse, error)) {
			call(pl, en.id, to, membership.ExchangeMethod, rq, done, func(other *entry) membership.ExchangeResponse {
				return other.table.Exchange(he, rq)
			})
		},
		SendSyncFunc: func(to string, rq membership.SyncRequest, done func(membership.SyncResponse, error)) {
			call(pl, en.id, to, membership.SyncMethod, rq, done, func(other *entry) membership.SyncResponse {
				return other.table.Sync(he, rq)
			})
		},
	}
}

func (pl *plant) add(id, role string, domain int) {
	pl.list = append(pl.list, instancelist.Instance{
		Address: id, FailureDomain: domainName(domain), ID: id, Role: role, State: instancelist.Live,
	})
}

func domainName(domain int) string {
	return [...]string{"coventry-hall", "derby-hall", "walsall-hall"}[domain%3] + strings.Repeat("'", domain/3)
}

// restart starts an attendant with a higher incarnation.
func (pl *plant) restart(at *attendant, domain, endpoints int) {
	at.incarnation = max(at.incarnation, 1764696000) + 1
	rp := &membership.Reporter{
		Address: at.id, FailureDomain: domainName(domain), Incarnation: at.incarnation, Instance: at.id,
		LeavingFunc: func() { pl.say("%s is told that it leaves", at.id) },
		SendFunc: func(to string, rq membership.ReportRequest, done func(membership.ReportResponse, error)) {
			call(pl, at.id, to, membership.ReportMethod, rq, done, func(en *entry) membership.ReportResponse {
				return en.table.Report(message.Header{Sender: at.id}, rq)
			})
		},
	}
	for i := range endpoints {
		id := fmt.Sprintf("%s-%d", at.id, i)
		rp.Add(id, "marker-llm")
		rp.Set(id, membership.Ready, 6, 0, 0)
	}
	rp.ObserveList(pl.list)
	at.reporter = rp
}

// poll makes all that live read the list.
func (pl *plant) poll() {
	for _, en := range pl.entries {
		en.table.ObserveList(pl.list)
	}
	for _, at := range pl.attendants {
		at.reporter.ObserveList(pl.list)
	}
}

// call carries a message there and back, and counts the bytes of both.
func call[Req, Resp any](
	pl *plant, from, to, method string, rq Req, done func(Resp, error), serve func(en *entry) Resp,
) {
	var none Resp
	pl.count(from, to, method, rq)
	at := slices.IndexFunc(pl.entries, func(en *entry) bool { return en.id == to })
	if at < 0 || pl.entries[at].dead || pl.lose(from, to, method) {
		pl.late = append(pl.late, late{at: time.Now().Add(time.Second), fn: func() { done(none, errLost) }})
		return
	}
	resp := serve(pl.entries[at])
	pl.count(to, from, "", resp)
	done(resp, nil)
}

// count adds the size of a message as the peer package would send it.
func (pl *plant) count(from, to, method string, value any) {
	payload, _ := peer.Encode(value)
	var frame any = &peer.Response{Seq: 1000, Sender: from, Incarnation: 1764696000, Revision: 1000, Payload: payload}
	if method != "" {
		frame = &peer.Request{
			Seq: 1000, Method: method, Sender: from, Incarnation: 1764696000, Revision: 1000, TimeLeft: 1000, Payload: payload,
		}
	}
	data, err := peer.Encode(frame)
	if err != nil {
		panic(err)
	}
	for _, id := range []string{from, to} {
		pl.sent[id] += len(data)
		pl.messages[id]++
	}
}

// deliver tells callers that their calls have timed out.
func (pl *plant) deliver() {
	for len(pl.late) > 0 && !time.Now().Before(pl.late[0].at) {
		fn := pl.late[0].fn
		pl.late = pl.late[1:]
		fn()
	}
}

// run lets time pass in steps.
func (pl *plant) run(d time.Duration, check func()) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(step)
		pl.deliver()
		for _, at := range pl.attendants {
			if !at.dead {
				for _, sy := range at.reporter.Systems() {
					sy.Run(time.Now())
				}
			}
		}
		for _, en := range pl.entries {
			if !en.dead {
				for _, sy := range en.table.Systems() {
					sy.Run(time.Now())
				}
			}
		}
		if check != nil {
			check()
		}
	}
}

func (pl *plant) say(format string, args ...any) {
	fmt.Fprintf(&pl.log, "%6.1fs ", time.Since(pl.start).Seconds())
	fmt.Fprintf(&pl.log, format+"\n", args...)
}

// watch makes an entry's view of an endpoint part of the log.
func (pl *plant) watch(endpoint string) {
	for _, en := range pl.entries {
		en.table.UpsertFunc = func(ep membership.Endpoint) {
			if ep.ID() == endpoint {
				pl.say("%s sees %s %v, incarnation %d, version %d", en.id, ep.ID(), ep.State(), ep.Incarnation()-1764696000, ep.Version())
			}
		}
		en.table.RemoveFunc = func(ep membership.Endpoint) {
			if ep.ID() == endpoint {
				pl.say("%s sees %s no more", en.id, ep.ID())
			}
		}
	}
}

// count returns how many endpoints an entry sees in a state.
func (en *entry) count(st membership.State) int {
	n := 0
	for _, ep := range en.table.Endpoints("marker-llm") {
		if ep.State() == st {
			n++
		}
	}
	return n
}

// session runs fn on a plant and compares what happened with a golden file.
func session(t *testing.T, entries, attendants, endpoints int, fn func(t *testing.T, pl *plant)) {
	synctest.Test(t, func(t *testing.T) {
		pl := newPlant(entries, attendants, endpoints, 3)
		pl.run(20*time.Second, nil)
		for _, en := range pl.entries {
			assert.Equal(t, en.count(membership.Ready), endpoints, en.id)
		}
		pl.start = time.Now()
		fn(t, pl)
		golden.Assert(t, pl.log.String(), t.Name()+".golden")
	})
}
