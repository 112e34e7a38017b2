package directory

import "time"

// A Topic is one kind of the state that a process reads from the key-value service or gets from a feeder. Each
// is read by calls of its own, so that one may be old while the others are new.
type Topic int

// The topics.
const (
	TopicEndpoints  Topic = iota
	TopicOperator         // the configuration and the announced versions
	TopicHolds            // set by operators
	TopicQuarantine       // requests that crash endpoints
	topicCount
)

const (
	// maxEndpointAge bounds the age of the endpoints that a feeder sends. Together with the
	// duration of a call it stays below the 2 s after which a leaving endpoint must get no new
	// work.
	maxEndpointAge = 1100 * time.Millisecond
	// maxFeedAge is the same for the other topics. Together with the time in which a standby takes the
	// feeder's place it stays below the 2 s after which a change must be in force.
	maxFeedAge = 1400 * time.Millisecond
)

// Topics returns all topics.
func Topics() []Topic { return []Topic{TopicEndpoints, TopicOperator, TopicHolds, TopicQuarantine} }

// String returns the topic's name in logs and metrics.
func (to Topic) String() string {
	return [topicCount]string{"endpoints", "operator", "holds", "quarantine"}[to]
}

// maxAge returns the age beyond which a feeder does not send the topic's state.
func (to Topic) maxAge() time.Duration {
	if to == TopicEndpoints {
		return maxEndpointAge
	}
	return maxFeedAge
}
