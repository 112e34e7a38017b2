package capacity

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// A processor is a stand-in for one slow processor: each use of it takes a fixed time, and uses follow
// each other in the order in which they were asked for.
type processor struct {
	busy atomic.Int64  // time used, in nanoseconds
	time time.Duration // of one use
	turn chan struct{} // of capacity 1
}

// newProcessor returns a processor that is idle.
func newProcessor(time time.Duration) *processor {
	return &processor{time: time, turn: make(chan struct{}, 1)}
}

// use waits for the processor and uses it once. A nil processor takes no time.
func (pr *processor) use() {
	if pr == nil {
		return
	}
	pr.turn <- struct{}{}
	time.Sleep(pr.time)
	pr.busy.Add(int64(pr.time))
	<-pr.turn
}

// relayCapacity bounds the chunks that a relay holds.
const relayCapacity = 10_000

// relay returns a connection to the other end of co that takes all that is written there at once. Writers
// to a slow reader would otherwise wait for each other's mutexes, which stops the clock of a bubble.
func relay(co net.Conn) net.Conn {
	near, far := net.Pipe()
	chunks := make(chan []byte, relayCapacity)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, 32<<10)
			n, err := co.Read(buf)
			if err != nil {
				return
			}
			chunks <- buf[:n]
		}
	}()
	go func() {
		defer far.Close()
		defer co.Close()
		for chunk := range chunks {
			if _, err := far.Write(chunk); err != nil {
				return
			}
		}
	}()
	go func() {
		defer co.Close()
		_, _ = io.Copy(co, far) // until either end is closed
	}()
	return near
}
