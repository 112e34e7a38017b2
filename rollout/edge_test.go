package rollout_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wisteriacroft/engine"
	"wisteriacroft/instancelist"
	"wisteriacroft/membership"
	"wisteriacroft/message"
	"wisteriacroft/peer"
	"wisteriacroft/rollout"
	"wisteriacroft/tick"
)

// pool returns a pool whose addresses are servers, reached by pipes.
func pool(id string, servers map[string]*peer.Server) *peer.Pool {
	return &peer.Pool{
		HeaderFunc: func() message.Header { return message.Header{Incarnation: 1, Sender: id} },
		DialFunc: func(ctx context.Context, address string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
					io.WriteString(far, "HTTP/1.0 200 Connected\n\n")
					servers[address].ServeConn(context.WithoutCancel(ctx), far)
				}
			}()
			return near, nil
		},
	}
}

func TestRolloutOverCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := map[string]*peer.Server{"entry": {}, "attendant": {}}
		entry, attendant := pool("entry", servers), pool("attendant", servers)
		defer entry.Close()
		defer attendant.Close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		ro := &rollout.Rollout{Address: "entry", HeldFunc: func(time.Time) (uint64, bool) { return 1, true }}
		ro.SetLimit(1)
		ro.SetWanted(7)
		rollout.Connect(ctx, entry, ro)
		rollout.RegisterRollouts(servers["entry"], func() []*rollout.Rollout { return []*rollout.Rollout{ro} })
		ta := &membership.Table{Address: "entry", Instance: "entry", RemoveFunc: func(en membership.Endpoint) { ro.Remove(en.ID()) }, UpsertFunc: ro.Observe}
		membership.Connect(ctx, entry, ta)
		membership.Register(servers["entry"], ta)

		var loaded atomic.Uint64
		loaded.Store(6)
		fe := &rollout.Fence{Incarnation: 1}
		fe.Add("e1")
		fe.PassFunc = func(_ context.Context, _ string, or engine.Order) error {
			time.AfterFunc(time.Second, func() { loaded.Store(uint64(or.Version)) })
			return nil
		}
		rollout.ConnectFence(ctx, attendant, fe)
		rollout.RegisterFence(servers["attendant"], fe)
		rp := &membership.Reporter{Address: "attendant", Incarnation: 1, Instance: "attendant"}
		rp.Add("e1", "marker-llm")
		rp.ObserveList([]instancelist.Instance{{Address: "entry", ID: "entry", Role: "entry", State: instancelist.Live}})
		membership.ConnectReporter(ctx, attendant, rp)
		poll := tick.System{Run: func(now time.Time) {
			version := engine.Version(loaded.Load())
			fe.Observe("e1", engine.Report{At: now, Version: version})
			rp.Set("e1", membership.Ready, version, 0, 0)
		}}
		for _, systems := range [][]tick.System{append(ta.Systems(), ro.Systems()...), append(rp.Systems(), poll)} {
			go (&tick.Loop{Every: step, Systems: systems}).Run(ctx)
		}
		time.Sleep(10 * time.Second)
		assert.Equal(t, loaded.Load(), uint64(7))
		assert.DeepEqual(t, ro.Progress(), rollout.Progress{Engines: 1, Serving: 1, Updated: 1})
		assert.Equal(t, ta.Endpoints("marker-llm")[0].Version(), engine.Version(7))
	})
}
