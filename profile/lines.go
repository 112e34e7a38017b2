package profile

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// A lineIndex maps each dotted key of a TOML file to its line, counted from 1.
type lineIndex map[string]int

// line returns the line of a key, or else of its table, or else 1.
func (li lineIndex) line(key string) int {
	for key != "" {
		if line, ok := li[key]; ok {
			return line
		}
		cut := strings.LastIndexByte(key, '.')
		if cut < 0 {
			break
		}
		key = key[:cut]
	}
	return 1
}

// indexLines returns the line index of a file that is valid TOML.
func indexLines(source []byte) lineIndex {
	li := lineIndex{}
	var pa unstable.Parser
	pa.Reset(source)
	table := ""
	for pa.NextExpression() {
		no := pa.Expression()
		switch no.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = li.record(&pa, "", no.Key())
		case unstable.KeyValue:
			li.recordValue(&pa, table, no)
		}
	}
	return li
}

// recordValue records the line of a key, and of the keys of an inline table.
func (li lineIndex) recordValue(pa *unstable.Parser, prefix string, no *unstable.Node) {
	key := li.record(pa, prefix, no.Key())
	if no.Value().Kind != unstable.InlineTable {
		return
	}
	children := no.Value().Children()
	for children.Next() {
		li.recordValue(pa, key, children.Node())
	}
}

// record records the line of each part of a dotted key and returns the whole key.
func (li lineIndex) record(pa *unstable.Parser, prefix string, parts unstable.Iterator) string {
	key := prefix
	for parts.Next() {
		no := parts.Node()
		if key != "" {
			key += "."
		}
		key += string(no.Data)
		if _, ok := li[key]; !ok {
			li[key] = pa.Shape(no.Raw).Start.Line
		}
	}
	return key
}
