package ledger

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// lastSuffix ends the ID of the last batch of a step.
const lastSuffix = "-last"

// A BatchID identifies one seal of a batch.
type BatchID struct {
	Ordinal int // index of the batch in its step
	Seal    int // sequence number of the seal among all of the trainer's batches
	Step    int
	Whole   bool // the last batch of its step
}

// String returns the ID's wire format, such as 12-0-31-last.
func (id BatchID) String() string {
	text := fmt.Sprintf("%d-%d-%d", id.Step, id.Ordinal, id.Seal)
	if id.Whole {
		text += lastSuffix
	}
	return text
}

// ParseBatchID parses the format of BatchID.String.
func ParseBatchID(text string) (BatchID, error) {
	var id BatchID
	_, err := fmt.Sscanf(strings.TrimSuffix(text, lastSuffix), "%d-%d-%d", &id.Step, &id.Ordinal, &id.Seal)
	id.Whole = strings.HasSuffix(text, lastSuffix)
	if err != nil || id.String() != text {
		return BatchID{}, errors.Newf("%q is no batch id", text)
	}
	return id, nil
}
