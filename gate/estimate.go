package gate

import "time"

const (
	// smoothing is the weight of the newest service time in its moving average.
	smoothing = 0.1
	// estimateLifetime is how long a service time stays valid after the last answer.
	estimateLifetime = time.Second
	// unknownRetryDivisor divides MaxRetry into the interval between retries while no service time is
	// known.
	unknownRetryDivisor = 10
)

// An estimate holds the mean service time of each class, 0 until the first whole answer.
type estimate struct {
	at   [classCount]time.Time // time of the last answer
	mean [classCount]time.Duration
}

// record adds a service time to the moving average.
func (es *estimate) record(now time.Time, cl Class, ran time.Duration) {
	es.at[cl] = now
	if es.mean[cl] == 0 {
		es.mean[cl] = ran
		return
	}
	es.mean[cl] += time.Duration(smoothing * float64(ran-es.mean[cl]))
}

// slotInterval returns the mean time between two slots that become free for a class, or 0 if unknown.
func (ta *Table) slotInterval(cl Class) time.Duration {
	if cl == Sample {
		return ta.estimate.mean[Sample] / time.Duration(max(1, ta.sampleSlots()))
	}
	var rate float64 // freed slots per nanosecond
	for other, mean := range ta.estimate.mean {
		if mean > 0 {
			rate += float64(ta.running[other]) / float64(mean)
		}
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(1 / rate)
}

// wait returns the expected queueing time of a request that arrives now.
func (ta *Table) wait(cl Class) time.Duration {
	ahead := len(ta.waiting[cl]) + 1 - ta.free(cl)
	if ta.policy.Order == FirstInFirstOut {
		ahead = len(ta.waiting[Live]) + len(ta.waiting[Sample]) + 1 - ta.free(cl)
	}
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * ta.slotInterval(cl)
}

// retryAfter returns the Retry-After time of a refusal. Successive refusals get increasing times, so
// that refused callers don't all return at once.
func (ta *Table) retryAfter(now time.Time, cl Class) time.Duration {
	each := ta.slotInterval(cl)
	if each == 0 {
		each = ta.policy.MaxRetry / unknownRetryDivisor
	}
	soonest := now.Add(max(each, ta.wait(cl)))
	if ta.retryAt[cl].Before(soonest) {
		ta.retryAt[cl] = soonest
	}
	latest := now.Add(ta.policy.MaxRetry)
	if ta.retryAt[cl].After(latest) {
		ta.retryAt[cl] = latest
	}
	wait := ta.retryAt[cl].Sub(now)
	ta.retryAt[cl] = ta.retryAt[cl].Add(each)
	return max(wait.Round(time.Millisecond), time.Millisecond)
}
