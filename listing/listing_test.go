package listing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDecide(t *testing.T) {
	// Guards against listing at fixed intervals, without regard to pending reads: the trainer gets the last results,
	// or groups that are due, one read later than necessary.
	const due = 7500 * time.Millisecond
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	read := func(age time.Duration) []Read { return []Read{{Begun: now.Add(-age), Wait: time.Second}} }
	for _, tc := range []struct {
		name string
		st   State
		want Reason
	}{
		{"no results", State{Satisfied: true, Reads: read(0)}, Wait},
		{"target complete", State{Results: 1, Groups: 1, Satisfied: true}, Final},
		{"target complete, no complete group", State{Results: 1, Satisfied: true, Size: 1, Reads: read(time.Second)}, Wait},
		{"more groups after the target was listed", State{Results: 1, Groups: 1, Satisfied: true, Served: true, Reads: read(0)}, Wait},
		{"trainer reads on after the target was listed", State{Results: 1, Groups: 1, Satisfied: true, Served: true, Size: 1, Reads: read(time.Second)}, ReadEnds},
		{"a read has just started", State{Results: 9, Groups: 3, Size: minReadSize, Reads: read(0)}, Wait},
		{"a read is about to end", State{Results: 9, Groups: 3, Size: minReadSize, Reads: read(time.Second - readLead)}, ReadEnds},
		{"a read is about to end, little text", State{Results: 1, Size: minReadSize - 1, Reads: read(time.Second)}, Wait},
		{"little text that has waited long", State{Results: 1, Size: 1, PendingAge: unreadInterval, Reads: read(time.Second)}, ReadEnds},
		{"one of two reads is about to end", State{Results: 9, Size: minReadSize, Reads: append(read(0), read(time.Second)...)}, ReadEnds},
		{"an answer is full", State{Results: 9, Size: readSize, Reads: read(0)}, Full},
		{"complete and due", State{Results: 1, Groups: 2, Target: 10, Age: due + dueTolerance - deliveryTime, Due: due, Reads: read(0)}, GroupsDue},
		{"few are complete and due", State{Results: 1, Groups: 1, Target: 10, Age: due + dueTolerance - deliveryTime, Due: due, Reads: read(0)}, Wait},
		{"a read is about to end, and a group is due soon", State{Results: 1, Groups: 1, Target: 10, Age: due, Due: due, Reads: read(time.Second)}, ReadEnds},
		{"a read is about to end, and a group is late", State{Results: 1, Groups: 1, Target: 10, Age: due + dueTolerance, Due: due, Reads: read(time.Second)}, Wait},
		{"complete and not due yet", State{Results: 1, Groups: 1, Age: due, Due: due, Reads: read(0)}, Wait},
		{"complete and late", State{Results: 1, Groups: 1, Age: due + dueTolerance, Due: due, Reads: read(0)}, Wait},
		{"due, no complete group", State{Results: 1, Age: due + dueTolerance - deliveryTime, Due: due, Reads: read(0)}, Wait},
		{"never due", State{Results: 1, Groups: 1, Age: dueTolerance, Reads: read(0)}, Wait},
		{"a read that ends just before the step", State{Results: 1, Reads: read(600 * time.Millisecond), EndsIn: 700 * time.Millisecond}, Renew},
		{"a young read, whose next would be too young", State{Results: 1, Reads: read(100 * time.Millisecond), EndsIn: 700 * time.Millisecond}, Wait},
		{"a read that ends after the step", State{Results: 1, Reads: read(200 * time.Millisecond), EndsIn: 600 * time.Millisecond}, Wait},
		{"a read that ends long before the step", State{Results: 1, Reads: read(900 * time.Millisecond), EndsIn: 800 * time.Millisecond}, Wait},
		{"no read waits", State{Results: 1, PendingAge: unreadAge, ListedAge: unreadInterval, ReadAge: maxReadGap}, Unread},
		{"a trainer is between two reads", State{Results: 1, PendingAge: unreadAge, ListedAge: unreadInterval, ReadAge: maxReadGap - 1}, Wait},
		{"no read waits, more results may follow", State{Results: 1, PendingAge: unreadAge - 1, ListedAge: unreadInterval, ReadAge: maxReadGap}, Wait},
		{"the last listing is recent", State{Results: 1, PendingAge: unreadAge, ListedAge: unreadInterval - 1, ReadAge: maxReadGap}, Wait},
		{"complete and due, and the step ends", State{Results: 1, Groups: 2, Target: 10, Age: due + dueTolerance - deliveryTime, Due: due, Reads: read(0), EndsIn: endMargin - 1}, Wait},
		{"a read is about to end, and so is the step", State{Results: 9, Size: minReadSize, Reads: read(time.Second), EndsIn: endMargin - 1}, Wait},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.st.EndsIn == 0 {
				tc.st.EndsIn = time.Hour
			}
			assert.Equal(t, Decide(tc.st, now), tc.want)
		})
	}
}
