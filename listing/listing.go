// Package listing decides when the results of a step are listed, that is, made visible to its trainer. It does no
// I/O.
//
// A step's results may be larger than one answer. A trainer starts a read half a second after the start of the
// previous one, or when that is answered, if later; a read without results waits for up to a second. Results that are
// listed while no read waits, or that answer a read that has just started, may delay the end of the step by the time
// until the next read. So results before the end are listed when a read would otherwise end empty. At the end, a read
// is then waiting and little is left to transfer.
package listing

import "time"

// A Reason is why results are listed now.
type Reason string

// Reasons for listing; Wait means that results are not listed yet.
const (
	Wait      Reason = ""
	Final     Reason = "the trainer waits for no more"
	GroupsDue Reason = "groups are due"
	ReadEnds  Reason = "a read ends"
	Full      Reason = "an answer is full"
	Renew     Reason = "the read at the end would be young"
	Unread    Reason = "no one reads"
)

// Limits of listing.
const (
	// readSize is the text that one answer holds, in bytes. More text needs another read.
	readSize = 800 << 10
	// minReadSize is the text from which on results are listed for a read that is about to end, in bytes: a third of
	// what an answer holds. Each listing is a billed call.
	minReadSize = 256 << 10
	// readLead is how long before a read's end results are listed for it: the time of the write, and twice the
	// interval at which that is checked.
	readLead = 100 * time.Millisecond
	// unreadAge and unreadInterval are the minimum age of the oldest result and the minimum time between two listings
	// while no read waits. They bound what is lost if the instances that hold it fail.
	unreadAge      = 150 * time.Millisecond
	unreadInterval = 2 * time.Second
	// maxReadGap is how long after a read a trainer is expected to read again. Results that are listed meanwhile
	// answer that read, which may then miss the last results.
	maxReadGap = 1200 * time.Millisecond
	// dueTolerance is how long after a step's due time its groups still count as in time.
	dueTolerance = 700 * time.Millisecond
	// pollInterval is the minimum time between the starts of a trainer's reads. A read that is younger when the step
	// ends delays the trainer by the rest of it.
	pollInterval = 500 * time.Millisecond
	// renewDelay is the time from an answer to the trainer's next read. renewWindow is how much older than
	// pollInterval that read may be at the end of the step; beyond it, it would be renewed in turn.
	renewDelay  = 150 * time.Millisecond
	renewWindow = 200 * time.Millisecond
	// endMargin is the expected time to the end of a step below which its reads are no longer answered with only some
	// of the results. It covers the time of an answer and the error of the expected end.
	endMargin = 400 * time.Millisecond
	// dueWindow is how long before its groups are late a step's reads are answered with any complete group.
	dueWindow = 2 * time.Second
	// minDueShare is the share of the wanted groups that must be complete and unlisted to be listed shortly
	// before they are late, although no read is about to end. Fewer are not worth a delay of the step's end.
	minDueShare = 0.2
	// deliveryTime is the time from a listing decision until the trainer has the results: a write of 50 ms and an
	// answer of 0.25 s through the slowest instance, with a margin of 0.1 s for the time until the scheduler received the step.
	deliveryTime = 400 * time.Millisecond
)

// A Read is a waiting read of a step's results.
type Read struct {
	Begun time.Time
	Wait  time.Duration // after Begun; then the read ends without results
}

// A State is the state of a step as far as it matters for listing.
type State struct {
	Age        time.Duration // age of the step
	Due        time.Duration // age at which the step's groups are due; 0 for never
	ListedAge  time.Duration // time since the last listing
	PendingAge time.Duration // age of the oldest unlisted result
	EndsIn     time.Duration // expected time until the trainer's target is complete
	Groups     int           // complete groups with unlisted results
	Satisfied  bool          // the trainer's target is complete
	Served     bool          // the trainer's target is listed
	Target     int           // groups that the trainer waits for
	Size       int           // text of unlisted results, in bytes
	Results    int           // unlisted results
	ReadAge    time.Duration // time since the last waiting read
	Reads      []Read        // waiting reads
}

// Decide returns why the results of a step are to be listed now, or Wait.
func Decide(st State, now time.Time) Reason {
	switch {
	case st.Results == 0:
		return Wait
	case st.Satisfied && st.Groups > 0 && !st.Served:
		return Final
	case st.groupsDue():
		return GroupsDue
	case st.Size >= readSize:
		return Full
	case len(st.Reads) == 0:
		return st.unread()
	case st.youngAtEnd(now):
		return Renew
	case st.readEnds(now):
		return ReadEnds
	default:
		return Wait
	}
}

// dueWithin reports whether complete groups will be late after at most bound, but are not yet.
func (st *State) dueWithin(bound time.Duration) bool {
	left := st.Due + dueTolerance - st.Age
	return st.Due > 0 && st.Groups > 0 && left > 0 && left <= bound
}

// groupsDue reports whether enough groups are complete that are in time only if they are listed now.
func (st *State) groupsDue() bool {
	return st.dueWithin(deliveryTime) && st.EndsIn >= endMargin && float64(st.Groups) >= minDueShare*float64(st.Target)
}

// readEnds reports whether a read is about to end empty and there is enough to list: enough text, groups that are due
// soon, results that have waited for long, or any results after the target was listed.
func (st *State) readEnds(now time.Time) bool {
	if st.Size < minReadSize && st.PendingAge < unreadInterval && !st.dueWithin(dueWindow) && !st.Served {
		return false
	}
	if st.EndsIn < endMargin && !st.Served {
		return false
	}
	for _, rd := range st.Reads {
		if rd.Begun.Add(rd.Wait).Sub(now) <= readLead {
			return true
		}
	}
	return false
}

// youngAtEnd reports whether a read would end just before the step, so that the next one would be younger than
// pollInterval at the end, while it would be old enough if this one were answered now.
//
// Reads restart every second from the acceptance of a step. Without this check, a step that ends just after a restart
// ends half a second late for its trainer.
func (st *State) youngAtEnd(now time.Time) bool {
	for _, rd := range st.Reads {
		age := now.Sub(rd.Begun)
		early := st.EndsIn - (rd.Wait - age) // time from the end of the read to that of the step
		if early < -renewDelay || early > pollInterval+renewDelay {
			continue
		}
		next := st.EndsIn - max(pollInterval-age, renewDelay) // age of the next read at the end of the step
		if next >= pollInterval && next < pollInterval+renewWindow {
			return true
		}
	}
	return false
}

// unread decides while no read waits: the trainer reads only occasionally, is cut off, or is between two reads.
func (st *State) unread() Reason {
	if st.ReadAge >= maxReadGap && st.PendingAge >= unreadAge && st.ListedAge >= unreadInterval {
		return Unread
	}
	return Wait
}
