// Package codectest changes encoded messages into such as a later build of their writer
// may send, for tests of decoders.
package codectest

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

// Format encodes and decodes values of any type.
type Format struct {
	Marshal   func(any) ([]byte, error)
	Unmarshal func([]byte, any) error
	// Key is the name of the field that is added.
	Key string
	// DataMaps are the fields whose maps have keys that are data and not names of fields.
	DataMaps []string
}

// JSON returns the format of JSON messages.
func JSON(key string, dataMaps ...string) Format {
	return Format{Marshal: json.Marshal, Unmarshal: json.Unmarshal, Key: key, DataMaps: dataMaps}
}

// CBOR returns the format of CBOR messages.
func CBOR(key string, dataMaps ...string) Format {
	return Format{Marshal: cbor.Marshal, Unmarshal: cbor.Unmarshal, Key: key, DataMaps: dataMaps}
}

// IsUnknown reports whether no message between hosts has a field of this name. The names of
// all their fields are in lower case and do not begin with "later".
func IsUnknown(name string) bool {
	return utf8.ValidString(name) && (strings.HasPrefix(name, "later") || strings.ToLower(name) != name)
}

// AddField returns the messages that differ from data by one added field, each in another
// of its maps. Maps that have the field already are left out.
func (f Format) AddField(t testing.TB, data []byte, value any) [][]byte {
	t.Helper()
	var out [][]byte
	for n := 0; ; n++ {
		tree := f.decode(t, data)
		left := n
		if !f.add(tree, value, &left) {
			return out
		}
		if left >= 0 {
			continue
		}
		changed, err := f.Marshal(tree)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, changed)
	}
}

// AddElement returns the message with an element added to each array of arrays.
func (f Format) AddElement(t testing.TB, data []byte, value any) []byte {
	t.Helper()
	changed, err := f.Marshal(lengthen(f.decode(t, data), value, false))
	if err != nil {
		t.Fatal(err)
	}
	return changed
}

func (f Format) decode(t testing.TB, data []byte) any {
	t.Helper()
	var tree any
	if err := f.Unmarshal(data, &tree); err != nil {
		t.Fatal(err)
	}
	return tree
}

// add adds the field to the map at position *left in the order of traversal, and sets
// *left to -1. It reports whether the tree has a map at that position.
func (f Format) add(tree, value any, left *int) bool {
	v := reflect.ValueOf(tree)
	switch v.Kind() {
	case reflect.Map:
		if *left == 0 {
			key := reflect.ValueOf(f.Key)
			if !v.MapIndex(key).IsValid() {
				v.SetMapIndex(key, reflect.ValueOf(&value).Elem())
				*left = -1
			}
			return true
		}
		*left--
		for _, key := range sortedKeys(v) {
			child := v.MapIndex(key).Interface()
			if !slices.Contains(f.DataMaps, fmt.Sprint(key)) {
				if f.add(child, value, left) {
					return true
				}
				continue
			}
			for _, inner := range values(child) {
				if f.add(inner, value, left) {
					return true
				}
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			if f.add(v.Index(i).Interface(), value, left) {
				return true
			}
		}
	}
	return false
}

// values returns the values of a map in the order of their keys.
func values(m any) []any {
	v := reflect.ValueOf(m)
	if v.Kind() != reflect.Map {
		return nil
	}
	var out []any
	for _, key := range sortedKeys(v) {
		out = append(out, v.MapIndex(key).Interface())
	}
	return out
}

func sortedKeys(m reflect.Value) []reflect.Value {
	return slices.SortedFunc(slices.Values(m.MapKeys()), func(a, b reflect.Value) int {
		return strings.Compare(fmt.Sprint(a), fmt.Sprint(b))
	})
}

// lengthen appends value to the arrays that are elements of arrays.
func lengthen(tree, value any, inArray bool) any {
	switch v := tree.(type) {
	case map[any]any:
		for key, child := range v {
			v[key] = lengthen(child, value, false)
		}
	case map[string]any:
		for key, child := range v {
			v[key] = lengthen(child, value, false)
		}
	case []any:
		for i, child := range v {
			v[i] = lengthen(child, value, true)
		}
		if inArray {
			return append(v, value)
		}
	}
	return tree
}
