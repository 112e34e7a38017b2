package broadcast

import (
	"testing"
	"testing/synctest"
)

func TestNotifyWakesAllWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var si Signal
		si.Notify() // nobody waits
		woken := make(chan int, 3)
		for i := range 3 {
			changed := si.Changed()
			go func() {
				<-changed
				woken <- i
			}()
		}
		synctest.Wait()
		if len(woken) > 0 {
			t.Fatal("woken before the change")
		}
		si.Notify()
		synctest.Wait()
		if len(woken) != 3 {
			t.Fatalf("%d of 3 woken", len(woken))
		}
		select {
		case <-si.Changed():
			t.Fatal("a past change wakes a later waiter")
		default:
		}
	})
}
