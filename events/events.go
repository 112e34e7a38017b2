// Package events reads a stream of server-sent events, one whole event at a
// time.
//
// A library for them gives the data alone. Here the bytes are passed on as they
// came, and engines add a field of their own, so that the lines must be seen.
package events

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxEvent is the largest event that is read, in bytes. Engines send a few
// hundred.
const maxEvent = 1 << 20

// ErrCut means that the stream ended in the middle of an event.
var ErrCut = errors.New("stream ended within an event")

// An Event is one event of a stream.
type Event struct {
	Data   []byte            // the data's lines, joined
	Fields map[string]string // all other fields but the ID, by name in lower case
	ID     int64             // 0 if it has none
	Raw    []byte            // as it came, with the empty line that ends it
}

// A Reader reads events. NewReader makes one.
type Reader struct{ lines *bufio.Reader }

// NewReader returns a Reader of a stream.
func NewReader(stream io.Reader) *Reader { return &Reader{lines: bufio.NewReader(stream)} }

// Next returns the next whole event, or io.EOF after the last. What a broken
// stream began is dropped.
func (re *Reader) Next() (Event, error) {
	var ev Event
	for {
		line, err := re.lines.ReadSlice('\n')
		ev.Raw = append(ev.Raw, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return Event{}, endOf(ev.Raw, err)
		}
		if len(ev.Raw) > maxEvent {
			return Event{}, errors.Newf("event is larger than %d bytes", maxEvent)
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 {
			if len(bytes.TrimSpace(ev.Raw)) == 0 {
				continue // an empty line between events belongs to the next
			}
			ev.parse()
			return ev, nil
		}
	}
}

func endOf(begun []byte, err error) error {
	if errors.Is(err, io.EOF) && len(bytes.TrimSpace(begun)) > 0 {
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
			ev.ID, _ = strconv.ParseInt(string(value), 10, 64) // an ID that is no number counts as none
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
