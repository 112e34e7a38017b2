package document

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2/unstable"
)

// An expression is a key with its value, or the header of a table.
type expression struct {
	end   int // offset after its last byte
	head  bool
	key   string
	line  int
	start int // offset of its first byte
}

// scan records the line of each key and returns the document's expressions in order. It
// adds a finding for each value that its type in target rejects. A syntax error marks the document as
// broken.
func (do *Document) scan(data []byte, target reflect.Type) []expression {
	var pa unstable.Parser
	pa.Reset(data)
	sc := scanner{arrays: map[string]int{}, data: data, do: do, target: target}
	for pa.NextExpression() {
		sc.record(pa.Expression())
	}
	if err := pa.Error(); err != nil {
		do.findings.Add(do.file, sc.errorLine(&pa, err), "", "%s", cleanMessage(err))
		do.broken = true
		return nil
	}
	for i, ex := range sc.exprs {
		sc.exprs[i].end = len(data)
		if i+1 < len(sc.exprs) {
			sc.exprs[i].end = sc.exprs[i+1].start
		}
		if _, ok := do.lines[ex.key]; !ok {
			do.lines[ex.key] = ex.line
		}
	}
	return sc.exprs
}

// A scanner walks the expressions of a document.
type scanner struct {
	arrays map[string]int // number of elements so far, by array of tables
	data   []byte
	do     *Document
	exprs  []expression
	path   []string // parts of the current table's key
	table  string   // the same key, with indexes of array elements
	target reflect.Type
}

// record adds one expression and checks its value.
func (sc *scanner) record(no *unstable.Node) {
	if no.Kind == unstable.Comment {
		return
	}
	key, start := sc.key(no)
	ex := expression{
		head:  no.Kind != unstable.KeyValue,
		line:  sc.line(start),
		start: start,
	}
	switch no.Kind {
	case unstable.Table:
		sc.path = key
		sc.table = sc.tableKey(key)
		ex.key = sc.table
	case unstable.ArrayTable:
		sc.path = key
		name := sc.tableKey(key)
		sc.table = fmt.Sprintf("%s[%d]", name, sc.arrays[name])
		sc.arrays[name]++
		ex.key = sc.table
	default:
		ex.key = join(sc.table, strings.Join(key, "."))
		sc.check(ex, no.Value(), fieldType(fieldType(sc.target, sc.path), key))
	}
	sc.exprs = append(sc.exprs, ex)
}

// tableKey returns a table's key, with the index of the last element after each array
// of tables.
func (sc *scanner) tableKey(parts []string) string {
	key := ""
	for i, part := range parts {
		key = join(key, part)
		if count := sc.arrays[key]; count > 0 && i+1 < len(parts) {
			key = fmt.Sprintf("%s[%d]", key, count-1)
		}
	}
	return key
}

// key returns the parts of a node's key and the offset of the start of its line.
func (sc *scanner) key(no *unstable.Node) (parts []string, start int) {
	it := no.Key()
	start = -1
	for it.Next() {
		if start < 0 {
			start = int(it.Node().Raw.Offset)
		}
		parts = append(parts, string(it.Node().Data))
	}
	return parts, bytes.LastIndexByte(sc.data[:start], '\n') + 1
}

// line returns the line of an offset, counted from 1.
func (sc *scanner) line(offset int) int {
	return bytes.Count(sc.data[:offset], []byte{'\n'}) + 1
}

// errorLine returns the line of a syntax error.
func (sc *scanner) errorLine(pa *unstable.Parser, err error) int {
	var syntax *unstable.ParserError
	if !errors.As(err, &syntax) {
		return 0
	}
	return sc.line(int(pa.Range(syntax.Highlight).Offset))
}

// blank overwrites an expression with spaces and keeps its line breaks, so that line
// numbers stay valid. With a table's header, it blanks the table's content, which would
// otherwise belong to the previous table.
func blank(data []byte, exprs []expression, at int) {
	end := exprs[at].end
	if exprs[at].head {
		for next := at + 1; next < len(exprs) && !exprs[next].head; next++ {
			end = exprs[next].end
		}
	}
	for i := exprs[at].start; i < end; i++ {
		if data[i] != '\n' {
			data[i] = ' '
		}
	}
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}
