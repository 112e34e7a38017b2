package membership_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"wisteriacroft/instancelist"
	"wisteriacroft/membership"
	"wisteriacroft/message"
)

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("attendants=%d", n), func(b *testing.B) {
			cl := newCluster(max(2, n/25), n, 3*n, 9)
			for range 100 {
				for _, at := range cl.attendants {
					at.reporter.Systems()[0].Run(time.Now())
				}
			}
			ta := cl.entries[0].table
			for b.Loop() {
				for _, sy := range ta.Systems() {
					sy.Run(time.Now())
				}
			}
		})
	}
}

func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("attendants=%d", n), func(b *testing.B) {
			ta := &membership.Table{Instance: "entry-00"}
			ta.ObserveList([]instancelist.Instance{{ID: "entry-01", Role: "entry", State: instancelist.Live}})
			for i := range n {
				ta.Report(message.Header{}, report(i, 1))
			}
			for b.Loop() {
				ta.Exchange(message.Header{Sender: "entry-01"}, membership.ExchangeRequest{})
			}
		})
	}
}

func BenchmarkReport(b *testing.B) {
	ta := &membership.Table{Instance: "entry-00"}
	for i := range 400 {
		ta.Report(message.Header{}, report(i, 1))
	}
	beat := uint64(1)
	for b.Loop() {
		beat++
		ta.Report(message.Header{}, report(int(beat%400), beat))
	}
}

func report(i int, beat uint64) membership.ReportRequest {
	id := fmt.Sprintf("attendant-%03d", i)
	up := membership.StateUpdate{Beat: beat, Incarnation: 1, Instance: id, Card: &membership.Descriptor{Address: id, FailureDomain: "derby-hall"}}
	for e := range 3 {
		up.Card.Endpoints = append(up.Card.Endpoints, membership.EndpointDescriptor{ID: fmt.Sprintf("%s-%d", id, e), Service: "marker-llm"})
		up.Endpoints = append(up.Endpoints, membership.EndpointUpdate{Version: 6, Running: int(beat % 16)})
	}
	return membership.ReportRequest{News: up}
}

func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("attendants=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				ta := &membership.Table{Instance: "entry-00"}
				for i := range n {
					ta.Report(message.Header{}, report(i, 1))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(ta)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/attendant")
		})
	}
}
