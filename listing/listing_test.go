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
		{"nothing is whole", State{Satisfied: true, Reads: read(0)}, Wait},
		{"all that is waited for", State{Results: 1, Groups: 1, Satisfied: true}, Final},
		{"beyond what is waited for", State{Results: 1, Satisfied: true, Size: 1, Reads: read(time.Second)}, Wait},
		{"more groups, after all that is waited for", State{Results: 1, Groups: 1, Satisfied: true, Served: true, Reads: read(0)}, Wait},
		{"a trainer that reads on though it has all", State{Results: 1, Groups: 1, Satisfied: true, Served: true, Size: 1, Reads: read(time.Second)}, ReadEnds},
		{"a read has just begun", State{Results: 9, Groups: 3, Size: worthwhile, Reads: read(0)}, Wait},
		{"a read is about to end", State{Results: 9, Groups: 3, Size: worthwhile, Reads: read(time.Second - readLead)}, ReadEnds},
		{"a read is about to end for little", State{Results: 1, Size: worthwhile - 1, Reads: read(time.Second)}, Wait},
		{"little that has waited long", State{Results: 1, Size: 1, PendingAge: unreadEvery, Reads: read(time.Second)}, ReadEnds},
		{"one of two reads is about to end", State{Results: 9, Size: worthwhile, Reads: append(read(0), read(time.Second)...)}, ReadEnds},
		{"more than an answer holds", State{Results: 9, Size: readSize, Reads: read(0)}, Full},
		{"whole and due", State{Results: 1, Groups: 2, Target: 10, Age: due + dueSlack - carryTime, Due: due, Reads: read(0)}, LastCall},
		{"few are whole and due", State{Results: 1, Groups: 1, Target: 10, Age: due + dueSlack - carryTime, Due: due, Reads: read(0)}, Wait},
		{"a read is about to end, and a group is due soon", State{Results: 1, Groups: 1, Target: 10, Age: due, Due: due, Reads: read(time.Second)}, ReadEnds},
		{"a read is about to end, and a group is late", State{Results: 1, Groups: 1, Target: 10, Age: due + dueSlack, Due: due, Reads: read(time.Second)}, Wait},
		{"whole and not due yet", State{Results: 1, Groups: 1, Age: due, Due: due, Reads: read(0)}, Wait},
		{"whole and late", State{Results: 1, Groups: 1, Age: due + dueSlack, Due: due, Reads: read(0)}, Wait},
		{"due, and no group is whole", State{Results: 1, Age: due + dueSlack - carryTime, Due: due, Reads: read(0)}, Wait},
		{"never due", State{Results: 1, Groups: 1, Age: dueSlack, Reads: read(0)}, Wait},
		{"a read that ends just before the step", State{Results: 1, Reads: read(600 * time.Millisecond), EndsIn: 700 * time.Millisecond}, Renew},
		{"a young one, of which the next would be too young", State{Results: 1, Reads: read(100 * time.Millisecond), EndsIn: 700 * time.Millisecond}, Wait},
		{"a read that lasts beyond the step", State{Results: 1, Reads: read(200 * time.Millisecond), EndsIn: 600 * time.Millisecond}, Wait},
		{"a read that ends long before the step", State{Results: 1, Reads: read(900 * time.Millisecond), EndsIn: 800 * time.Millisecond}, Wait},
		{"no one reads", State{Results: 1, PendingAge: unreadAge, ListedAge: unreadEvery, ReadAge: betweenReads}, Unread},
		{"a trainer is between two reads", State{Results: 1, PendingAge: unreadAge, ListedAge: unreadEvery, ReadAge: betweenReads - 1}, Wait},
		{"no one reads, and others may come", State{Results: 1, PendingAge: unreadAge - 1, ListedAge: unreadEvery, ReadAge: betweenReads}, Wait},
		{"no one has read the last listing", State{Results: 1, PendingAge: unreadAge, ListedAge: unreadEvery - 1, ReadAge: betweenReads}, Wait},
		{"whole and due, and the step ends", State{Results: 1, Groups: 2, Target: 10, Age: due + dueSlack - carryTime, Due: due, Reads: read(0), EndsIn: endsSoon - 1}, Wait},
		{"a read is about to end, and so is the step", State{Results: 9, Size: worthwhile, Reads: read(time.Second), EndsIn: endsSoon - 1}, Wait},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.st.EndsIn == 0 {
				tc.st.EndsIn = time.Hour
			}
			assert.Equal(t, Decide(tc.st, now), tc.want)
		})
	}
}
