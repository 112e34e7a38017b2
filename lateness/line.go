// Package lateness tells from the log lines of a day what steps waited for: it
// follows each step's last item from its acceptance to its listing.
package lateness

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLine bounds a log line, in bytes. The longest that the roles write has some
// 2 KB.
const maxLine = 1 << 20

// A line is what a log line of a scheduler or an attendant says of a step.
type line struct {
	Allowed int64     `json:"allowed-ms"` // that a reader was ready to wait
	DueMS   int64     `json:"due-ms"`     // after acceptance
	Events  int       `json:"events"`
	After   int       `json:"after"` // events that earlier runs made
	Item    string    `json:"item"`
	Items   int       `json:"items"`
	Model   string    `json:"model"`
	Msg     string    `json:"msg"`
	Number  int       `json:"number"`
	Outcome string    `json:"outcome"`
	Results int       `json:"results"` // of an answer
	State   string    `json:"state"`
	Step    string    `json:"step"`
	Time    time.Time `json:"time"`
	Why     string    `json:"why"`
}

// readLines calls take for each log line that concerns a step. What stands
// before a line's opening brace is passed over, as other collectors put their
// own time and the instance's name there; so is what is no log line.
func readLines(rd io.Reader, take func(li line)) error {
	sc := bufio.NewScanner(rd)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		at := bytes.IndexByte(sc.Bytes(), '{')
		if at < 0 {
			continue
		}
		var li line
		if json.Unmarshal(sc.Bytes()[at:], &li) == nil && li.Step != "" {
			take(li)
		}
	}
	return errors.Wrap(sc.Err(), "read the log")
}
