package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wisteriacroft/batch"
	"wisteriacroft/message"
)

// A Slot counts the attempts and deliveries of a requested sample.
type Slot struct {
	delivered int // tokens, of the last delivery
	made      int // tokens, in all attempts
	taken     int // times delivered
	wanted    int // tokens of the first attempt's complete response
}

// A stepID names a step of a trainer.
type stepID struct {
	trainer string
	step    int
}

// A Ledger counts the samples that trainers requested and received.
type Ledger struct {
	requestedAt map[stepID]time.Time
	batchTime   *hdrhistogram.Histogram // milliseconds from request to delivery of a whole step
	bound       int64
	delivered   map[string]int // samples, by trainer
	order       []batch.SlotID // of slots
	overBound   int            // samples over the staleness bound
	slots       map[batch.SlotID]*Slot
	staleness   *hdrhistogram.Histogram // thousandths of a version
	whole       map[stepID]bool
}

// NewLedger returns an empty ledger.
func NewLedger(bound int) *Ledger {
	return &Ledger{
		requestedAt: map[stepID]time.Time{},
		batchTime:   hdrhistogram.New(1, int64(24*time.Hour/time.Millisecond), 3),
		bound:       int64(bound),
		delivered:   map[string]int{},
		slots:       map[batch.SlotID]*Slot{},
		staleness:   hdrhistogram.New(1, 1_000_000, 3),
		whole:       map[stepID]bool{},
	}
}

// Slot returns the row of a slot.
func (le *Ledger) Slot(id batch.SlotID) *Slot {
	sl := le.slots[id]
	if sl == nil {
		sl = &Slot{}
		le.slots[id] = sl
		le.order = append(le.order, id)
	}
	return sl
}

// RecordRequest records the time at which a step was requested.
func (le *Ledger) RecordRequest(row TrainerRow, step int, now time.Time) {
	le.requestedAt[stepID{row.Name, step}] = now
}

// RecordBatch records a batch that a trainer received.
func (le *Ledger) RecordBatch(tr *Trainer, pa message.PullResponse, now time.Time) {
	id := stepID{tr.row.Name, pa.Step}
	for _, en := range pa.Manifest {
		sl := le.Slot(batch.SlotID{Trainer: tr.row.Name, Step: pa.Step, Group: en.Group, Member: en.Member})
		sl.taken++
		sl.delivered = 0
		for _, se := range en.Segments {
			sl.delivered += se.Tokens
		}
		late := versionsBehind(tr.cursor.Version, en.Segments)
		le.staleness.RecordValue(milli * late)
		if late > le.bound {
			le.overBound++
		}
		le.delivered[tr.row.Name]++
	}
	if pa.Whole {
		le.whole[id] = true
		le.batchTime.RecordValue(now.Sub(le.requestedAt[id]).Milliseconds())
	}
}

// Totals sums up the slots of the steps that were received completely.
func (le *Ledger) Totals() (to Totals) {
	for _, id := range le.order {
		if !le.whole[stepID{id.Trainer, id.Step}] {
			continue
		}
		sl := le.slots[id]
		to.delivered += sl.delivered
		to.made += sl.made
		to.wanted += sl.wanted
		if sl.taken == 0 {
			to.lost++
		}
		to.doubled += max(0, sl.taken-1)
	}
	return to
}

// Totals are sums over slots.
type Totals struct {
	delivered int // tokens
	doubled   int // samples
	lost      int // samples
	made      int // tokens
	wanted    int // tokens
}

// Wasted returns the fraction of the generated tokens that no trainer received.
func (to Totals) Wasted() float64 {
	if to.made == 0 {
		return 0
	}
	return 1 - float64(to.delivered)/float64(to.made)
}

// LengthBias returns the ratio of the mean delivered to the mean wanted length.
func (to Totals) LengthBias() float64 {
	if to.wanted == 0 {
		return 1
	}
	return float64(to.delivered) / float64(to.wanted)
}
