// Package events reads a stream of server-sent events.
//
// Unlike common libraries, it also returns the raw bytes of each event, which are forwarded
// unchanged, and non-standard fields, which engines add.
package events

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxEvent is the maximum size of an event, in bytes.
const maxEvent = 1 << 20

// ErrCut means that the stream ended in the middle of an event.
var ErrCut = errors.New("stream ended within an event")

// An Event is one event of a stream.
type Event struct {
	Data   []byte            // data lines, joined by newlines
	Fields map[string]string // all fields except data and id, by lower-case name
	ID     int64             // 0 if it has none
	Raw    []byte            // unmodified, with the terminating empty line
}

// A Reader reads events. Create one with NewReader.
type Reader struct{ lines *bufio.Reader }

// NewReader returns a Reader of a stream.
func NewReader(stream io.Reader) *Reader { return &Reader{lines: bufio.NewReader(stream)} }

// Next returns the next event, or io.EOF after the last. If the stream ends within an
// event, it returns ErrCut and discards the event.
func (re *Reader) Next() (Event, error) {
	var ev Event
	for {
		line, err := re.lines.ReadSlice('\n')
		ev.Raw = append(ev.Raw, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return Event{}, streamError(ev.Raw, err)
		}
		if len(ev.Raw) > maxEvent {
			return Event{}, errors.Newf("event is larger than %d bytes", maxEvent)
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			if len(bytes.TrimSpace(ev.Raw)) == 0 {
				continue // empty lines before an event are part of its Raw
			}
			ev.parse()
			return ev, nil
		}
	}
}

func streamError(partial []byte, err error) error {
	if errors.Is(err, io.EOF) && len(bytes.TrimSpace(partial)) > 0 {
		return ErrCut
	}
	return err
}

// parse sets the fields of an event from its bytes.
func (ev *Event) parse() {
	hasData := false
	for line := range bytes.Lines(ev.Raw) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch key := strings.ToLower(string(name)); key {
		case "":
		case "id":
			ev.ID, _ = strconv.ParseInt(string(value), 10, 64) // a non-numeric ID is ignored
		case "data":
			if hasData {
				ev.Data = append(ev.Data, '\n')
			}
			ev.Data = append(ev.Data, value...)
			hasData = true
		default:
			if ev.Fields == nil {
				ev.Fields = map[string]string{}
			}
			ev.Fields[key] = string(value)
		}
	}
}
