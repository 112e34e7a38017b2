package standin

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"

	"wisteriacroft/engine"
)

// A Record is a batch that a trainer received completely: one line of its file.
type Record struct {
	Batch   string         `json:"batch"`
	Digest  string         `json:"digest"`
	Samples []SampleRecord `json:"samples"`
	Step    int            `json:"step"`
	Version engine.Version `json:"version"` // that the trainer was training
	Whole   bool           `json:"whole"`   // the last batch of its step
}

// A SampleRecord is a sample that a trainer received.
type SampleRecord struct {
	Damaged       bool    `json:"damaged,omitempty"` // incomplete, or not what was requested
	Digest        string  `json:"digest"`
	Group         int     `json:"group"`
	Member        int     `json:"member"`
	Misattributed bool    `json:"misattributed,omitempty"`
	Score         float64 `json:"score"`
	Staleness     int     `json:"staleness"` // in versions
}

// A recordFile is the file of a trainer's records. The zero value discards them.
type recordFile struct {
	file *os.File
}

// openRecordFile reads the records of a file and opens it for appending. It removes
// a last line that a kill truncated: that batch was never acknowledged.
func openRecordFile(path string) (recordFile, []Record, error) {
	if path == "" {
		return recordFile{}, nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return recordFile{}, nil, errors.Wrap(err, "read the record")
	}
	whole := data[:bytes.LastIndexByte(data, '\n')+1]
	var records []Record
	for line := range bytes.Lines(whole) {
		var re Record
		if err := json.Unmarshal(line, &re); err != nil {
			return recordFile{}, nil, errors.Wrapf(err, "%s: line %d", path, len(records)+1)
		}
		records = append(records, re)
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return recordFile{}, nil, errors.Wrap(err, "open the record")
	}
	return recordFile{file: file}, records, errors.Wrapf(file.Truncate(int64(len(whole))), "truncate %s", path)
}

// add appends a record and syncs the file.
func (rf recordFile) add(re Record) error {
	if rf.file == nil {
		return nil
	}
	line, err := json.Marshal(re)
	if err != nil {
		return errors.Wrap(err, "encode a record")
	}
	if _, err := rf.file.Write(append(line, '\n')); err != nil {
		return errors.Wrap(err, "write a record")
	}
	return errors.Wrap(rf.file.Sync(), "sync the record")
}

func (rf recordFile) close() {
	if rf.file != nil {
		_ = rf.file.Close()
	}
}
