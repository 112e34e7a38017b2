package step

import "time"

// Update returns what is to be written now.
func (ta *Table) Update(now time.Time) Update {
	up := Update{Chunks: ta.Due(now), Checkpoints: ta.Checkpoints(now)}
	if !up.empty() {
		up.Deletes = ta.Garbage()
	}
	return up
}

// Written takes in that an update is applied.
func (ta *Table) Written(up Update, now time.Time) {
	ta.Listed(up.Chunks, now)
	ta.Saved(up.Checkpoints)
	ta.Removed(len(up.Deletes))
}

func (up Update) empty() bool {
	return len(up.Chunks) == 0 && len(up.Checkpoints) == 0 && len(up.Deletes) == 0
}
