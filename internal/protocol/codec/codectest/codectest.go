// Package codectest changes encoded messages into such as a later build of their writer
// may send, for tests of decoders.
package codectest

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

// Later describes what a later build adds.
type Later struct {
	// Key is the name of the added field, Value its value and that of added elements.
	Key   string
	Value any
	// DataMaps are the fields whose maps have keys that are data and not names of fields.
	DataMaps []string
}

// IsUnknown reports whether no message between hosts has a field of this name. The names of
// all their fields are in lower case and do not begin with "later".
func IsUnknown(name string) bool {
	return utf8.ValidString(name) && (strings.HasPrefix(name, "later") || strings.ToLower(name) != name)
}

// CBOR returns a message with the field in each map and an element at the end of each array
// of an array.
func (l Later) CBOR(t testing.TB, data []byte) []byte {
	return l.extend(t, data, cbor.Unmarshal, cbor.Marshal)
}

// JSON is CBOR for messages in JSON.
func (l Later) JSON(t testing.TB, data []byte) []byte {
	return l.extend(t, data, json.Unmarshal, json.Marshal)
}

func (l Later) extend(t testing.TB, data []byte, unmarshal func([]byte, any) error, marshal func(any) ([]byte, error)) []byte {
	t.Helper()
	var tree any
	if err := unmarshal(data, &tree); err != nil {
		t.Fatal(err)
	}
	out, err := marshal(l.walk(tree, false, false))
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func (l Later) walk(tree any, inArray, isData bool) any {
	switch v := tree.(type) {
	case map[any]any:
		walkMap[any](l, v, l.Key, isData)
	case map[string]any:
		walkMap(l, v, l.Key, isData)
	case []any:
		for i, child := range v {
			v[i] = l.walk(child, true, false)
		}
		if inArray {
			return append(v, l.Value)
		}
	}
	return tree
}

func walkMap[K comparable](l Later, m map[K]any, key K, isData bool) {
	for k, child := range m {
		m[k] = l.walk(child, false, slices.Contains(l.DataMaps, fmt.Sprint(k)))
	}
	if !isData {
		m[key] = l.Value
	}
}
