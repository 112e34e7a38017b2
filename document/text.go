package document

import (
	"encoding"
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2/unstable"
)

// check adds a finding for each value below a node that its type's UnmarshalText rejects. The decoder
// alone would accept a bare number for any numeric type, such as 30 as a duration of
// 30 ns, and reports some errors without a line.
func (sc *scanner) check(ex expression, no *unstable.Node, ty reflect.Type) {
	if ty == nil {
		return
	}
	switch no.Kind {
	case unstable.Array:
		sc.checkArray(ex, no, ty)
	case unstable.InlineTable:
		for it := no.Children(); it.Next(); {
			parts, _ := sc.key(it.Node())
			sc.check(ex, it.Node().Value(), fieldType(ty, parts))
		}
	default:
		text, ok := reflect.New(ty).Interface().(encoding.TextUnmarshaler)
		if !ok {
			return
		}
		err := text.UnmarshalText(no.Data)
		if err == nil && no.Kind != unstable.String {
			// A bare true or 3 must not pass as a name.
			err = errors.Newf("%s is not a string: write it in quotes", no.Data)
		}
		if err != nil {
			sc.do.faulty[ex.key] = true
			sc.do.findings.Add(sc.do.file, sc.nodeLine(ex, no), ex.key, "%s", err)
		}
	}
}

func (sc *scanner) checkArray(ex expression, no *unstable.Node, ty reflect.Type) {
	if ty.Kind() != reflect.Slice {
		return
	}
	for it := no.Children(); it.Next(); {
		sc.check(ex, it.Node(), ty.Elem())
	}
}

// nodeLine returns the line of a value, or that of its expression if the parser does not
// record its offset.
func (sc *scanner) nodeLine(ex expression, no *unstable.Node) int {
	if no.Raw.Length == 0 {
		return ex.line
	}
	return sc.line(int(no.Raw.Offset))
}

// fieldType returns the type of the field at a key path, or nil.
func fieldType(ty reflect.Type, parts []string) reflect.Type {
	for _, part := range parts {
		for ty != nil && (ty.Kind() == reflect.Slice || ty.Kind() == reflect.Pointer) {
			ty = ty.Elem()
		}
		if ty == nil || ty.Kind() != reflect.Struct {
			return nil
		}
		ty = structField(ty, part)
	}
	return ty
}

// structField returns the type of a struct's field with a TOML key, or nil.
func structField(ty reflect.Type, key string) reflect.Type {
	for i := range ty.NumField() {
		fi := ty.Field(i)
		if fi.Tag.Get("toml") == key {
			return fi.Type
		}
		if fi.Anonymous && fi.Type.Kind() == reflect.Struct {
			if found := structField(fi.Type, key); found != nil {
				return found
			}
		}
	}
	return nil
}
