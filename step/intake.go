package step

import (
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"wisteriacroft/keyvalue"
)

// An intake is what has been accepted and ended, as the changes of its keys
// tell. The zero intake is empty and ready to use.
type intake struct {
	ended map[string]bool
	parts map[string]map[int]part
	steps map[string]*Step
	// scanned are the steps that were there when the prefix was read whole, and
	// of which more may be kept.
	scanned map[string]bool
}

// apply takes changes in and returns the steps that are new and those that
// have ended.
func (in *intake) apply(its []keyvalue.Item, scanned bool) (accepted []*Step, ended []string) {
	if in.steps == nil {
		in.ended, in.scanned = map[string]bool{}, map[string]bool{}
		in.parts, in.steps = map[string]map[int]part{}, map[string]*Step{}
	}
	for _, it := range its {
		if it.Value == nil {
			in.forget(it.Key)
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

// forget drops a step whose keys were removed.
func (in *intake) forget(key string) {
	if id, ok := strings.CutPrefix(key, endPrefix); ok {
		delete(in.ended, id)
		return
	}
	id, _, _ := strings.Cut(strings.TrimPrefix(key, stepPrefix), "/")
	delete(in.parts, id)
	delete(in.scanned, id)
	delete(in.steps, id)
}

// applyPart takes one value of a step in and returns the step once it is whole.
func (in *intake) applyPart(it keyvalue.Item) *Step {
	id, text, ok := strings.Cut(strings.TrimPrefix(it.Key, stepPrefix), "/")
	number, err := strconv.Atoi(text)
	if !ok || err != nil || in.steps[id] != nil {
		return nil
	}
	var pa part
	if cbor.Unmarshal(it.Value, &pa) != nil {
		return nil // no step of ours
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
	// What is read of a prefix is no snapshot: the step may have ended after its end
	// was looked for. Taken for open, its items would run without their bodies.
	if st.Cut {
		in.ended[id] = true
	}
	return st
}
