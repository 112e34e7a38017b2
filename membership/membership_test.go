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

// leftBy returns a check that no entry but the dead sees the watched endpoint
// as anything but leaving from a moment on.
func leftBy(t *testing.T, pl *plant, bound time.Duration) func() {
	start := time.Now()
	return func() {
		if time.Since(start) < bound {
			return
		}
		for _, en := range pl.entries {
			for _, ep := range en.table.Endpoints("marker-llm") {
				if !en.dead && ep.ID() == watched {
					assert.Equal(t, ep.State(), membership.Leaving, "%s after %v", en.id, time.Since(start))
				}
			}
		}
	}
}

// Symptom: an entry goes on giving work to an endpoint that leaves.
// Sequence: the word to this entry is lost, or whoever had it dies at once.
// Cause: it was told once, and nobody asked later whether it knows.
func TestLeavingMissed(t *testing.T) {
	t.Run("lost", func(t *testing.T) {
		session(t, 5, 9, 9, func(t *testing.T, pl *plant) {
			pl.watch(watched)
			pl.lose = func(from, to, _ string) bool {
				return (from == "entry-02" || to == "entry-02") && time.Since(pl.start) < time.Second
			}
			pl.say("attendant-001 leaves; all messages of entry-02 are lost for a second")
			pl.attendants[1].reporter.Leave()
			pl.run(10*time.Second, leftBy(t, pl, 3*time.Second))
		})
	})
	t.Run("homes die", func(t *testing.T) {
		session(t, 16, 9, 9, func(t *testing.T, pl *plant) {
			pl.watch(watched)
			pl.lose = func(from, to, method string) bool {
				return method != membership.ReportMethod && from != "entry-00" && to != "entry-00"
			}
			pl.say("attendant-001 leaves; only entry-00 gets the word of its homes, which die")
			at := pl.attendants[1]
			at.reporter.Leave()
			pl.run(300*time.Millisecond, nil)
			pl.lose = func(string, string, string) bool { return false }
			at.dead = true
			for _, en := range pl.entries {
				en.dead = en.id == "entry-10" || en.id == "entry-13"
			}
			pl.run(10*time.Second, leftBy(t, pl, 3*time.Second))
		})
	})
	t.Run("by the list", func(t *testing.T) {
		session(t, 5, 9, 9, func(t *testing.T, pl *plant) {
			pl.watch(watched)
			pl.say("one entry reads that attendant-001 leaves")
			leaving := append([]instancelist.Instance(nil), pl.list...)
			for i := range leaving {
				if leaving[i].ID == "attendant-001" {
					leaving[i].State = instancelist.Leaving
				}
			}
			pl.entries[0].table.ObserveList(leaving)
			pl.run(5*time.Second, leftBy(t, pl, 3*time.Second))
			pl.say("the list goes back to an older word")
			pl.poll()
			pl.run(10*time.Second, leftBy(t, pl, 0))
		})
	})
}

// Symptom: a dead process's endpoints are in service, or a live one's not.
// Sequence: an attendant restarts; a message of its earlier self comes late.
// Cause: the last message to come was believed, whoever sent it.
func TestRestartedAttendant(t *testing.T) {
	session(t, 3, 3, 3, func(t *testing.T, pl *plant) {
		pl.watch(watched)
		at := pl.attendants[1]
		old := at.reporter
		var late []func()
		send := old.SendFunc
		old.SendFunc = func(to string, rq membership.ReportRequest, done func(membership.ReportResponse, error)) {
			late = append(late, func() { send(to, rq, done) })
		}
		old.Leave()
		old.Set(watched, membership.Ready, 99, 0, 0)
		pl.run(300*time.Millisecond, nil)
		pl.say("attendant-001 restarts")
		pl.restart(at, 1, 1)
		pl.run(5*time.Second, nil)
		pl.say("%d messages of its earlier self come late", len(late))
		for _, send := range late {
			send()
		}
		pl.run(10*time.Second, nil)
		for _, en := range pl.entries {
			assert.Equal(t, en.count(membership.Ready), 3)
		}
	})
}

// Symptom: endpoints that died long ago get work, or live ones get none.
// Sequence: an attendant dies; then an entry is cut off from all it hears.
// Cause: silence was taken for death, or not noticed, whoever was at fault.
func TestSilence(t *testing.T) {
	session(t, 3, 12, 12, func(t *testing.T, pl *plant) {
		pl.watch(watched)
		pl.say("attendant-001 dies")
		pl.attendants[1].dead = true
		pl.run(15*time.Second, nil)
		for _, en := range pl.entries {
			assert.Equal(t, en.count(membership.Suspect), 1, en.id)
		}
		pl.say("entry-00 is cut off from all")
		pl.lose = func(from, to, _ string) bool { return from == "entry-00" || to == "entry-00" }
		pl.run(30*time.Second, nil)
		_, cutOff := pl.entries[0].table.CutOff()
		assert.Assert(t, cutOff)
		for _, en := range pl.entries {
			assert.Equal(t, en.count(membership.Ready), 11, en.id)
		}
		pl.say("entry-00 is back; the list drops attendant-001")
		pl.lose = func(string, string, string) bool { return false }
		for i, in := range pl.list {
			if in.ID == "attendant-001" {
				pl.list = append(pl.list[:i:i], pl.list[i+1:]...)
			}
		}
		pl.poll()
		pl.run(2*time.Minute, nil)
		_, cutOff = pl.entries[0].table.CutOff()
		assert.Assert(t, !cutOff)
		for _, en := range pl.entries {
			assert.Equal(t, len(en.table.Endpoints("marker-llm")), 11, en.id)
		}
	})
}

// Symptom: endpoints of a failure domain are out of service for good.
// Sequence: its only entry dies; its attendants report elsewhere.
// Cause: only the dead entry's word on them was known.
func TestHomeDies(t *testing.T) {
	session(t, 3, 9, 9, func(t *testing.T, pl *plant) {
		pl.watch(watched)
		pl.say("entry-01, the home of attendant-001, dies")
		assert.Equal(t, pl.attendants[1].reporter.EntryID(), "entry-01")
		pl.entries[1].dead = true
		pl.run(time.Minute, nil)
		pl.say("version 7")
		pl.attendants[1].reporter.Set(watched, membership.Ready, 7, 0, 0)
		pl.run(5*time.Second, nil)
		for _, en := range []*entry{pl.entries[0], pl.entries[2]} {
			assert.Equal(t, en.count(membership.Ready), 9, en.id)
		}
	})
}

// Symptom: an entry that has just started refuses callers for want of
// endpoints.
// Sequence: one entry of sixteen starts anew, with an empty table.
// Cause: the others thought that it still held what they had told it.
func TestEntryRestarts(t *testing.T) {
	session(t, 16, 32, 96, func(t *testing.T, pl *plant) {
		en := pl.entries[3]
		pl.restartEntry(en)
		en.table.ObserveList(pl.list)
		for en.count(membership.Ready) < 96 {
			pl.run(time.Second, nil)
			pl.say("%s sees %d endpoints", en.id, en.count(membership.Ready))
			assert.Assert(t, time.Since(pl.start) < 5*time.Second)
		}
	})
}

// Symptom: live endpoints are suspect, at one entry or at all.
// Sequence: a home dies and comes back; its attendants move to another entry
// and back again; the word of that to the others may come late.
// Cause: the other entry heard no more of them and took them for silent.
func TestMovedHome(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprintf("late=%v", late), func(t *testing.T) {
			session(t, 3, 9, 9, func(t *testing.T, pl *plant) {
				pl.watch(watched)
				pl.say("entry-01 dies")
				pl.entries[1].dead = true
				pl.run(time.Minute, nil)
				pl.say("entry-01 starts anew")
				pl.entries[1].dead = false
				pl.restartEntry(pl.entries[1])
				pl.watch(watched)
				pl.poll()
				pl.lose = func(from, _, _ string) bool {
					return late && from == "entry-01" && time.Since(pl.start) < 2*time.Minute
				}
				pl.run(3*time.Minute, func() {
					for _, en := range pl.entries {
						assert.Assert(t, late || en.count(membership.Suspect) == 0)
					}
				})
				assert.Equal(t, pl.attendants[1].reporter.EntryID(), "entry-01")
				for _, en := range pl.entries {
					assert.Equal(t, en.count(membership.Ready), 9, en.id)
				}
			})
		})
	}
}

// Symptom: work waits for endpoints of a failure domain that is gone.
// Sequence: a whole failure domain fails, its entries included.
// Cause: only these entries could have told that its endpoints are silent.
func TestDomainLost(t *testing.T) {
	session(t, 6, 12, 12, func(t *testing.T, pl *plant) {
		pl.watch(watched)
		set := func(dead bool) {
			pl.entries[1].dead, pl.entries[4].dead = dead, dead
			for i := 1; i < 12; i += 3 {
				pl.attendants[i].dead = dead
			}
		}
		pl.say("derby-hall fails")
		set(true)
		pl.run(time.Minute, nil)
		for _, en := range pl.entries {
			assert.Assert(t, en.dead || en.count(membership.Suspect) == 4 && en.count(membership.Ready) == 8, en.id)
		}
		pl.say("it is back")
		set(false)
		pl.run(time.Minute, nil)
		for _, en := range pl.entries {
			assert.Equal(t, en.count(membership.Ready), 12, en.id)
		}
	})
}

// churn changes loads as requests come and go, and versions as a rollout does.
func churn(pl *plant, rd *rand.Rand, running []int, version func(endpoint int) uint64) {
	for a, at := range pl.attendants {
		for e := range len(running) / len(pl.attendants) {
			n := a*(len(running)/len(pl.attendants)) + e
			if rd.IntN(10) < 1 { // a start and an end a second
				running[n] += rd.IntN(2)*2 - 1
				running[n] = min(max(running[n], 8), 24)
			}
			at.reporter.Set(fmt.Sprintf("%s-%d", at.id, e), membership.Ready, engine.Version(version(n)), running[n], 0)
		}
	}
}

const unlimited = 1 << 20

// traffic measures the bytes per second of the busiest entry and attendant.
func traffic(t *testing.T, entries, attendants, endpoints int, share float64, rate int, rollout bool) string {
	var line string
	synctest.Test(t, func(t *testing.T) {
		pl := newPlant(entries, attendants, endpoints, 9)
		for _, en := range pl.entries {
			en.table.LoadShare, en.table.NewsRate = share, rate
		}
		rd := rand.New(rand.NewPCG(1, 2))
		running := make([]int, endpoints)
		for i := range running {
			running[i] = 16
		}
		steady := func(int) uint64 { return 6 }
		pl.run(time.Minute, func() { churn(pl, rd, running, steady) })
		clear(pl.sent)
		clear(pl.messages)
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
		pl.run(time.Minute, func() { churn(pl, rd, running, version) })
		busiest := func(prefix string) (bytes, messages float64) {
			for id, n := range pl.sent {
				if id[:1] == prefix && float64(n)/60 > bytes {
					bytes, messages = float64(n)/60, float64(pl.messages[id])/60
				}
			}
			return bytes, messages
		}
		eb, em := busiest("e")
		ab, am := busiest("a")
		behind := 0
		for _, ep := range pl.entries[0].table.Endpoints("marker-llm") {
			if rollout && ep.Version() != 7 {
				behind++
			}
		}
		// A segment's headers take 52 bytes, and about every second message
		// has an acknowledgement of its own.
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
