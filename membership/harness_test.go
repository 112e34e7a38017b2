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

// A cluster simulates entries and attendants in one goroutine, with direct calls. Each message is
// encoded as on the wire to count its bytes.
type cluster struct {
	attendants []*attendant
	entries    []*entry
	timeouts   []timeout
	list       []instancelist.Instance
	log        strings.Builder
	lose       func(from, to, method string) bool
	sent       map[string]int // bytes sent and received, by instance
	messages   map[string]int // sent and received, by instance
	start      time.Time
}

// A timeout ends a call that gets no response.
type timeout struct {
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

// newCluster returns a cluster whose instances are spread over failure domains.
func newCluster(entries, attendants, endpoints, domains int) *cluster {
	cl := &cluster{
		lose: func(string, string, string) bool { return false },
		sent: map[string]int{}, messages: map[string]int{}, start: time.Now(),
	}
	for i := range entries {
		id := fmt.Sprintf("entry-%02d", i)
		cl.add(id, "entry", i%domains)
		en := &entry{id: id, incarnation: 1764696000}
		cl.restartEntry(en)
		cl.entries = append(cl.entries, en)
	}
	for i := range attendants {
		at := &attendant{id: fmt.Sprintf("attendant-%03d", i)}
		cl.add(at.id, "attendant", i%domains)
		cl.attendants = append(cl.attendants, at)
		cl.restart(at, i%domains, endpoints/attendants)
	}
	cl.poll()
	return cl
}

// restartEntry starts an entry with an empty table.
func (cl *cluster) restartEntry(en *entry) {
	en.incarnation++
	he := message.Header{Incarnation: en.incarnation, Sender: en.id}
	en.table = &membership.Table{
		Address: en.id, Instance: en.id,
		SendExchangeFunc: func(to string, rq membership.ExchangeRequest, done func(membership.ExchangeResponse, error)) {
			call(cl, en.id, to, membership.ExchangeMethod, rq, done, func(other *entry) membership.ExchangeResponse {
				return other.table.Exchange(he, rq)
			})
		},
		SendSyncFunc: func(to string, rq membership.SyncRequest, done func(membership.SyncResponse, error)) {
			call(cl, en.id, to, membership.SyncMethod, rq, done, func(other *entry) membership.SyncResponse {
				return other.table.Sync(he, rq)
			})
		},
	}
}

func (cl *cluster) add(id, role string, domain int) {
	cl.list = append(cl.list, instancelist.Instance{
		Address: id, FailureDomain: domainName(domain), ID: id, Role: role, State: instancelist.Live,
	})
}

func domainName(domain int) string {
	return [...]string{"coventry-hall", "derby-hall", "walsall-hall"}[domain%3] + strings.Repeat("'", domain/3)
}

// restart starts an attendant with a new incarnation.
func (cl *cluster) restart(at *attendant, domain, endpoints int) {
	at.incarnation = max(at.incarnation, 1764696000) + 1
	rp := &membership.Reporter{
		Address: at.id, FailureDomain: domainName(domain), Incarnation: at.incarnation, Instance: at.id,
		LeavingFunc: func() { cl.logf("%s is notified that it is leaving", at.id) },
		SendFunc: func(to string, rq membership.ReportRequest, done func(membership.ReportResponse, error)) {
			call(cl, at.id, to, membership.ReportMethod, rq, done, func(en *entry) membership.ReportResponse {
				return en.table.Report(message.Header{Sender: at.id}, rq)
			})
		},
	}
	for i := range endpoints {
		id := fmt.Sprintf("%s-%d", at.id, i)
		rp.Add(id, "marker-llm")
		rp.Set(id, membership.Ready, 6, 0, 0)
	}
	rp.ObserveList(cl.list)
	at.reporter = rp
}

// poll makes all entries and attendants read the list.
func (cl *cluster) poll() {
	for _, en := range cl.entries {
		en.table.ObserveList(cl.list)
	}
	for _, at := range cl.attendants {
		at.reporter.ObserveList(cl.list)
	}
}

// call delivers a request and its response, and counts the bytes of both.
func call[Req, Resp any](
	cl *cluster, from, to, method string, rq Req, done func(Resp, error), serve func(en *entry) Resp,
) {
	var none Resp
	cl.count(from, to, method, rq)
	at := slices.IndexFunc(cl.entries, func(en *entry) bool { return en.id == to })
	if at < 0 || cl.entries[at].dead || cl.lose(from, to, method) {
		cl.timeouts = append(cl.timeouts, timeout{at: time.Now().Add(time.Second), fn: func() { done(none, errLost) }})
		return
	}
	resp := serve(cl.entries[at])
	cl.count(to, from, "", resp)
	done(resp, nil)
}

// count counts a message with its size as sent by the peer package.
func (cl *cluster) count(from, to, method string, value any) {
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
		cl.sent[id] += len(data)
		cl.messages[id]++
	}
}

// expireCalls ends the calls that have timed out.
func (cl *cluster) expireCalls() {
	for len(cl.timeouts) > 0 && !time.Now().Before(cl.timeouts[0].at) {
		fn := cl.timeouts[0].fn
		cl.timeouts = cl.timeouts[1:]
		fn()
	}
}

// run advances the time in steps, and calls check, if any, after each.
func (cl *cluster) run(d time.Duration, check func()) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(step)
		cl.expireCalls()
		for _, at := range cl.attendants {
			if !at.dead {
				for _, sy := range at.reporter.Systems() {
					sy.Run(time.Now())
				}
			}
		}
		for _, en := range cl.entries {
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

func (cl *cluster) logf(format string, args ...any) {
	fmt.Fprintf(&cl.log, "%6.1fs ", time.Since(cl.start).Seconds())
	fmt.Fprintf(&cl.log, format+"\n", args...)
}

// watch logs changes of an endpoint at each entry.
func (cl *cluster) watch(endpoint string) {
	for _, en := range cl.entries {
		en.table.UpsertFunc = func(ep membership.Endpoint) {
			if ep.ID() == endpoint {
				cl.logf("%s sees %s %v, incarnation %d, version %d", en.id, ep.ID(), ep.State(), ep.Incarnation()-1764696000, ep.Version())
			}
		}
		en.table.RemoveFunc = func(ep membership.Endpoint) {
			if ep.ID() == endpoint {
				cl.logf("%s sees %s removed", en.id, ep.ID())
			}
		}
	}
}

// count returns the number of endpoints in a state at an entry.
func (en *entry) count(st membership.State) int {
	n := 0
	for _, ep := range en.table.Endpoints("marker-llm") {
		if ep.State() == st {
			n++
		}
	}
	return n
}

// session runs fn on a cluster and compares the log with a golden file.
func session(t *testing.T, entries, attendants, endpoints int, fn func(t *testing.T, cl *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(entries, attendants, endpoints, 3)
		cl.run(20*time.Second, nil)
		for _, en := range cl.entries {
			assert.Equal(t, en.count(membership.Ready), endpoints, en.id)
		}
		cl.start = time.Now()
		fn(t, cl)
		golden.Assert(t, cl.log.String(), t.Name()+".golden")
	})
}
