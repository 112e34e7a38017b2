package batch

import (
	"time"

	"wisteriacroft/engine"
	"wisteriacroft/message"
)

// A Counts counts events of a trainer since its owner's process started.
type Counts struct {
	Attempts     int `json:"attempts"` // started
	Failures     int `json:"failures"`
	HandOvers    int `json:"hand-overs"` // pull answers with a batch
	Lost         int `json:"lost"`       // payloads generated again since no copy is left
	Samples      int `json:"samples"`    // samples that filled a slot
	Seals        int `json:"seals"`
	Stale        int `json:"stale"` // attempts and samples dropped as stale
	Stragglers   int `json:"stragglers"`
	WastedTokens int `json:"wasted-tokens"` // of canceled, failed and dropped attempts and samples
}

// A Row is a batch of an owner, or the samples of a step that are in no batch yet.
type Row struct {
	ID        string `json:"id"`        // of a sealed batch
	Published bool   `json:"published"` // the ledger holds the seal
	Samples   int    `json:"samples"`   // available
	Sealed    bool   `json:"sealed"`
	Step      int    `json:"step"`
	Wanted    int    `json:"wanted"`
}

// A Status is an owner's state for a trainer.
type Status struct {
	Batches   []Row          `json:"batches"` // not taken yet
	Counts    Counts         `json:"counts"`
	Cursor    message.Cursor `json:"cursor"`
	Epoch     uint64         `json:"epoch"`
	OpenSteps int            `json:"open-steps"`
	Overdue   int            `json:"overdue"` // open steps after their deadline
	Running   int            `json:"running"` // attempts
	Sealed    int            `json:"sealed"`  // batches not taken yet
	Standing  string         `json:"standing"`
	Trainer   string         `json:"trainer"`
	Unfilled  int            `json:"unfilled"`  // slots without a sample
	Unwritten bool           `json:"unwritten"` // the ledger is behind
	Version   engine.Version `json:"version"`   // current version of the trainer
}

// Status returns the state of each trainer, sorted by name.
func (ow *Owner) Status() []Status {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	var sts []Status
	for _, tr := range ow.trainers {
		_, st := ow.LeaseFunc(tr.name, time.Now())
		sts = append(sts, Status{
			Batches:   tr.rows(),
			Counts:    tr.counts,
			Cursor:    tr.cursor,
			Epoch:     tr.epoch,
			OpenSteps: tr.open(),
			Overdue:   tr.overdue(time.Now()),
			Running:   len(tr.running),
			Sealed:    tr.untakenBatches(tr.lastStep()),
			Standing:  st.String(),
			Trainer:   tr.name,
			Unfilled:  tr.unfilled(),
			Unwritten: tr.wanted > tr.published,
			Version:   tr.version,
		})
	}
	return sts
}

// unfilled returns the number of slots that need a sample.
func (tr *trainer) unfilled() int {
	sum := 0
	for _, sp := range tr.steps {
		for i := range sp.slots {
			if sp.slots[i].state == slotOpen {
				sum++
			}
		}
	}
	return sum
}

// rows returns the batches that the trainer has not taken, oldest first.
func (tr *trainer) rows() []Row {
	var ros []Row
	for _, sp := range tr.steps {
		open := Row{Step: sp.number, Wanted: sp.samples}
		for _, ba := range sp.batches {
			open.Wanted -= len(ba.entries)
			if !ba.acked {
				ros = append(ros, tr.row(ba))
			}
		}
		for i := range sp.slots {
			if sp.slots[i].state == slotFilled {
				open.Samples++
			}
		}
		if open.Wanted > 0 {
			ros = append(ros, open)
		}
	}
	return ros
}

func (tr *trainer) row(ba *batch) Row {
	return Row{
		ID:        ba.id(),
		Published: ba.seq <= tr.published,
		Samples:   len(ba.entries) - len(ba.reopened),
		Sealed:    true,
		Step:      ba.step.number,
		Wanted:    len(ba.entries),
	}
}

// overdue returns the number of incomplete steps after their deadline. They continue: dropping the
// missing samples would bias the batch.
func (tr *trainer) overdue(now time.Time) int {
	count := 0
	for _, sp := range tr.steps {
		late := tr.policy.Deadline > 0 && now.Sub(sp.accepted) > tr.policy.Deadline
		if late && !sp.filled() {
			count++
		}
	}
	return count
}

// filled reports whether no slot of the step needs a sample.
func (sp *step) filled() bool {
	for i := range sp.slots {
		if sp.slots[i].state == slotOpen {
			return false
		}
	}
	return sp.slots != nil
}
