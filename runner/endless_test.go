package runner

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Failure: an engine in trouble makes events without end, until the attendant is out of memory.
func TestTextWithoutEnd(t *testing.T) {
	for name, size := range map[string]int{"with text": 1 << 10, "without text": 0} {
		t.Run(name, func(t *testing.T) {
			id := int64(0)
			rn, ru := &Runner{}, &run{}
			state, detail := rn.read(ru, Stream{NextFunc: func() (Event, error) {
				id++
				assert.Assert(t, id <= maxTextSize/eventOverhead+1, "it goes on")
				return Event{Data: make([]byte, size), ID: id}, nil
			}})
			assert.Equal(t, state, Broken)
			assert.Equal(t, detail, "the text is too large")
			assert.Assert(t, len(ru.events)*(size+eventOverhead) <= maxTextSize)
		})
	}
}
