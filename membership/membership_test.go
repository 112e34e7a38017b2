package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/engine"
	"wisteriacroft/instancelist"
	"wisteriacroft/membership"
)

const watched = "attendant-001-0"

// leftBy returns a check that after bound all live entries have the watched endpoint as leaving,
// if at all.
func leftBy(t *testing.T, cl *cluster, bound time.Duration) func() {
	start := time.Now()
	return func() {
		if time.Since(start) < bound {
			return
		}
		for _, en := range cl.entries {
			for _, ep := range en.table.Endpoints("marker-llm") {
				if !en.dead && ep.ID() == watched {
					assert.Equal(t, ep.State(), membership.Leaving, "%s after %v", en.id, time.Since(start))
				}
			}
		}
	}
}

// Guards against sending work to a leaving endpoint because an update was lost, or the entry that
// got it died.
func TestLeavingMissed(t *testing.T) {
	t.Run("lost", func(t *testing.T) {
		session(t, 5, 9, 9, func(t *testing.T, cl *cluster) {
			cl.watch(watched)
			cl.lose = func(from, to, _ string) bool {
				return (from == "entry-02" || to == "entry-02") && time.Since(cl.start) < time.Second
			}
			cl.logf("attendant-001 leaves; all messages of entry-02 are lost for a second")
			cl.attendants[1].reporter.Leave()
			cl.run(10*time.Second, leftBy(t, cl, 3*time.Second))
		})
	})
	t.Run("entries die", func(t *testing.T) {
		session(t, 16, 9, 9, func(t *testing.T, cl *cluster) {
			cl.watch(watched)
			cl.lose = func(from, to, method string) bool {
				return method != membership.ReportMethod && from != "entry-00" && to != "entry-00"
			}
			cl.logf("attendant-001 leaves; the entries that it reports to update only entry-00, and die")
			at := cl.attendants[1]
			at.reporter.Leave()
			cl.run(300*time.Millisecond, nil)
			cl.lose = func(string, string, string) bool { return false }
			at.dead = true
			for _, en := range cl.entries {
				en.dead = en.id == "entry-10" || en.id == "entry-13"
			}
			cl.run(10*time.Second, leftBy(t, cl, 3*time.Second))
		})
	})
	t.Run("platform list", func(t *testing.T) {
		session(t, 5, 9, 9, func(t *testing.T, cl *cluster) {
			cl.watch(watched)
			cl.logf("entry-00 reads from the list that attendant-001 is leaving")
			leaving := append([]instancelist.Instance(nil), cl.list...)
			for i := range leaving {
				if leaving[i].ID == "attendant-001" {
					leaving[i].State = instancelist.Leaving
				}
			}
			cl.entries[0].table.ObserveList(leaving)
			cl.run(5*time.Second, leftBy(t, cl, 3*time.Second))
			cl.logf("the list reverts to an older state")
			cl.poll()
			cl.run(10*time.Second, leftBy(t, cl, 0))
		})
	})
}

// Guards against late messages of an attendant's previous incarnation.
func TestRestartedAttendant(t *testing.T) {
	session(t, 3, 3, 3, func(t *testing.T, cl *cluster) {
		cl.watch(watched)
		at := cl.attendants[1]
		old := at.reporter
		var late []func()
		send := old.SendFunc
		old.SendFunc = func(to string, rq membership.ReportRequest, done func(membership.ReportResponse, error)) {
			late = append(late, func() { send(to, rq, done) })
		}
		old.Leave()
		old.Set(watched, membership.Ready, 99, 0, 0)
		cl.run(300*time.Millisecond, nil)
		cl.logf("attendant-001 restarts")
		cl.restart(at, 1, 1)
		cl.run(5*time.Second, nil)
		cl.logf("%d messages of its previous incarnation arrive late", len(late))
		for _, send := range late {
			send()
		}
		cl.run(10*time.Second, nil)
		for _, en := range cl.entries {
			assert.Equal(t, en.count(membership.Ready), 3)
		}
	})
}

// Guards against sending work to the endpoints of a dead attendant, and against an entry that is
// cut off marking all endpoints as suspect.
func TestSilence(t *testing.T) {
	session(t, 3, 12, 12, func(t *testing.T, cl *cluster) {
		cl.watch(watched)
		cl.logf("attendant-001 dies")
		cl.attendants[1].dead = true
		cl.run(15*time.Second, nil)
		for _, en := range cl.entries {
			assert.Equal(t, en.count(membership.Suspect), 1, en.id)
		}
		cl.logf("entry-00 is cut off from all")
		cl.lose = func(from, to, _ string) bool { return from == "entry-00" || to == "entry-00" }
		cl.run(30*time.Second, nil)
		_, cutOff := cl.entries[0].table.CutOff()
		assert.Assert(t, cutOff)
		for _, en := range cl.entries {
			assert.Equal(t, en.count(membership.Ready), 11, en.id)
		}
		cl.logf("entry-00 is back; the list drops attendant-001")
		cl.lose = func(string, string, string) bool { return false }
		for i, in := range cl.list {
			if in.ID == "attendant-001" {
				cl.list = append(cl.list[:i:i], cl.list[i+1:]...)
			}
		}
		cl.poll()
		cl.run(2*time.Minute, nil)
		_, cutOff = cl.entries[0].table.CutOff()
		assert.Assert(t, !cutOff)
		for _, en := range cl.entries {
			assert.Equal(t, len(en.table.Endpoints("marker-llm")), 11, en.id)
		}
	})
}

// Guards against losing the endpoints of a failure domain after the only entry in it dies and its
// attendants report to another one.
func TestEntryDies(t *testing.T) {
	session(t, 3, 9, 9, func(t *testing.T, cl *cluster) {
		cl.watch(watched)
		cl.logf("entry-01, to which attendant-001 reports, dies")
		assert.Equal(t, cl.attendants[1].reporter.EntryID(), "entry-01")
		cl.entries[1].dead = true
		cl.run(time.Minute, nil)
		cl.logf("version 7")
		cl.attendants[1].reporter.Set(watched, membership.Ready, 7, 0, 0)
		cl.run(5*time.Second, nil)
		for _, en := range []*entry{cl.entries[0], cl.entries[2]} {
			assert.Equal(t, en.count(membership.Ready), 9, en.id)
		}
	})
}

// Guards against a restarted entry staying without endpoints because the others consider it up to
// date.
func TestEntryRestarts(t *testing.T) {
	session(t, 16, 32, 96, func(t *testing.T, cl *cluster) {
		en := cl.entries[3]
		cl.restartEntry(en)
		en.table.ObserveList(cl.list)
		for en.count(membership.Ready) < 96 {
			cl.run(time.Second, nil)
			cl.logf("%s sees %d endpoints", en.id, en.count(membership.Ready))
			assert.Assert(t, time.Since(cl.start) < 5*time.Second)
		}
	})
}

// Guards against live endpoints becoming suspect because their attendant reports to another entry
// now, while its reports to the previous one stop.
func TestMovedAttendant(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprintf("late=%v", late), func(t *testing.T) {
			session(t, 3, 9, 9, func(t *testing.T, cl *cluster) {
				cl.watch(watched)
				cl.logf("entry-01 dies")
				cl.entries[1].dead = true
				cl.run(time.Minute, nil)
				cl.logf("entry-01 restarts")
				cl.entries[1].dead = false
				cl.restartEntry(cl.entries[1])
				cl.watch(watched)
				cl.poll()
				cl.lose = func(from, _, _ string) bool {
					return late && from == "entry-01" && time.Since(cl.start) < 2*time.Minute
				}
				cl.run(3*time.Minute, func() {
					for _, en := range cl.entries {
						assert.Assert(t, late || en.count(membership.Suspect) == 0)
					}
				})
				assert.Equal(t, cl.attendants[1].reporter.EntryID(), "entry-01")
				for _, en := range cl.entries {
					assert.Equal(t, en.count(membership.Ready), 9, en.id)
				}
			})
		})
	}
}

// Guards against endpoints staying ready if their whole failure domain fails, including the
// entries that would have detected their silence.
func TestDomainLost(t *testing.T) {
	session(t, 6, 12, 12, func(t *testing.T, cl *cluster) {
		cl.watch(watched)
		set := func(dead bool) {
			cl.entries[1].dead, cl.entries[4].dead = dead, dead
			for i := 1; i < 12; i += 3 {
				cl.attendants[i].dead = dead
			}
		}
		cl.logf("derby-hall fails")
		set(true)
		cl.run(time.Minute, nil)
		for _, en := range cl.entries {
			assert.Assert(t, en.dead || en.count(membership.Suspect) == 4 && en.count(membership.Ready) == 8, en.id)
		}
		cl.logf("derby-hall recovers")
		set(false)
		cl.run(time.Minute, nil)
		for _, en := range cl.entries {
			assert.Equal(t, en.count(membership.Ready), 12, en.id)
		}
	})
}

// churn changes loads at random, and sets versions.
func churn(cl *cluster, rd *rand.Rand, running []int, version func(endpoint int) uint64) {
	for a, at := range cl.attendants {
		for e := range len(running) / len(cl.attendants) {
			n := a*(len(running)/len(cl.attendants)) + e
			if rd.IntN(10) < 1 { // one change per second
				running[n] += rd.IntN(2)*2 - 1
				running[n] = min(max(running[n], 8), 24)
			}
			at.reporter.Set(fmt.Sprintf("%s-%d", at.id, e), membership.Ready, engine.Version(version(n)), running[n], 0)
		}
	}
}

const unlimited = 1 << 20

// traffic returns a table row with the bytes per second of the busiest entry and attendant.
func traffic(t *testing.T, entries, attendants, endpoints int, share float64, rate int, rollout bool) string {
	var line string
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(entries, attendants, endpoints, 9)
		for _, en := range cl.entries {
			en.table.LoadShare, en.table.NewsRate = share, rate
		}
		rd := rand.New(rand.NewPCG(1, 2))
		running := make([]int, endpoints)
		for i := range running {
			running[i] = 16
		}
		steady := func(int) uint64 { return 6 }
		cl.run(time.Minute, func() { churn(cl, rd, running, steady) })
		clear(cl.sent)
		clear(cl.messages)
		start := time.Now()
		version := steady
		if rollout { // all in 15 s, in the first of 60 s
			version = func(n int) uint64 {
				if time.Since(start).Seconds() > 15*float64(n)/float64(endpoints) {
					return 7
				}
				return 6
			}
		}
		cl.run(time.Minute, func() { churn(cl, rd, running, version) })
		busiest := func(prefix string) (bytes, messages float64) {
			for id, n := range cl.sent {
				if id[:1] == prefix && float64(n)/60 > bytes {
					bytes, messages = float64(n)/60, float64(cl.messages[id])/60
				}
			}
			return bytes, messages
		}
		eb, em := busiest("e")
		ab, am := busiest("a")
		behind := 0
		for _, ep := range cl.entries[0].table.Endpoints("marker-llm") {
			if rollout && ep.Version() != 7 {
				behind++
			}
		}
		// 52 bytes of headers per segment, and an acknowledgement for about every second
		// message.
		line = fmt.Sprintf("%7d  %10d  %9d  %5.2f  %7d  %-7v  %9.0f  %5.1f  %12.0f  %13.0f  %6d\n",
			entries, attendants, endpoints, share, rate, rollout, eb, em, eb+78*em, ab+78*am, behind)
	})
	return line
}

func TestTraffic(t *testing.T) {
	table := "entries  attendants  endpoints  share     rate  rollout  entry-B/s  msg/s  with-headers  attendant-B/s  behind\n"
	for _, ca := range []struct {
		entries, attendants, endpoints int
		share                          float64
		rate                           int
		rollout                        bool
	}{
		{2, 8, 24, membership.DefaultLoadShare, membership.DefaultGossipRate, false},
		{4, 96, 288, membership.DefaultLoadShare, membership.DefaultGossipRate, false},
		{16, 364, 1092, membership.DefaultLoadShare, membership.DefaultGossipRate, false},
		{16, 364, 1092, membership.DefaultLoadShare, membership.DefaultGossipRate, true},
		{16, 364, 1092, 1e-9, unlimited, false},
		{16, 364, 1092, 0.25, unlimited, false},
		{16, 364, 1092, 0.5, unlimited, false},
	} {
		table += traffic(t, ca.entries, ca.attendants, ca.endpoints, ca.share, ca.rate, ca.rollout)
	}
	golden.Assert(t, table, t.Name()+".golden")
}
