package step

import (
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"wisteriacroft/keyvalue"
)

// An intake is the set of accepted and ended steps, built from the changes of their keys. The zero value is empty and
// ready to use.
type intake struct {
	ended map[string]bool
	parts map[string]map[int]part
	steps map[string]*Step
	// scanned holds the steps that were found by a scan, for which checkpoints and results may be stored.
	scanned map[string]bool
}

// apply updates the intake and returns the steps that are newly accepted and those that have ended. scanned tells
// that the items are the result of a scan.
func (in *intake) apply(its []keyvalue.Item, scanned bool) (accepted []*Step, ended []string) {
	if in.steps == nil {
		in.ended, in.scanned = map[string]bool{}, map[string]bool{}
		in.parts, in.steps = map[string]map[int]part{}, map[string]*Step{}
	}
	for _, it := range its {
		if it.Value == nil {
			in.remove(it.Key)
			continue
		}
		if id, ok := strings.CutPrefix(it.Key, endPrefix); ok {
			if !in.ended[id] {
				in.ended[id] = true
				ended = append(ended, id)
			}
			if st := in.steps[id]; st != nil {
				in.steps[id] = st.withoutItems()
			}
			continue
		}
		if st := in.applyPart(it); st != nil {
			in.scanned[st.ID] = scanned
			accepted = append(accepted, st)
		}
	}
	return accepted, ended
}

// remove drops a step whose keys were deleted.
func (in *intake) remove(key string) {
	if id, ok := strings.CutPrefix(key, endPrefix); ok {
		delete(in.ended, id)
		return
	}
	id, _, _ := strings.Cut(strings.TrimPrefix(key, stepPrefix), "/")
	delete(in.parts, id)
	delete(in.scanned, id)
	delete(in.steps, id)
}

// applyPart adds one value of a step, and returns the step once all of its values are there.
func (in *intake) applyPart(it keyvalue.Item) *Step {
	id, text, ok := strings.Cut(strings.TrimPrefix(it.Key, stepPrefix), "/")
	number, err := strconv.Atoi(text)
	if !ok || err != nil || in.steps[id] != nil {
		return nil
	}
	var pa part
	if cbor.Unmarshal(it.Value, &pa) != nil {
		return nil // not written by this program
	}
	if in.parts[id] == nil {
		in.parts[id] = map[int]part{}
	}
	in.parts[id][number] = pa
	if len(in.parts[id]) < pa.Count {
		return nil
	}
	var data []byte
	for i := range pa.Count {
		data = append(data, in.parts[id][i].Data...)
	}
	delete(in.parts, id)
	st := &Step{}
	if cbor.Unmarshal(data, st) != nil {
		return nil
	}
	st.Parts = pa.Count
	in.steps[id] = st
	// A scan is no snapshot: the step may have ended after the scan passed its end key. If it counted as open, its
	// items would run without bodies.
	if st.Cut {
		in.ended[id] = true
	}
	return st
}
