// Package codec provides the encodings of messages, generic over their type.
package codec

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed is the sentinel of all decoding errors.
var ErrMalformed = errors.New("malformed message")

// Codec encodes and decodes messages of type T.
type Codec[T any] interface {
	Encode(T) ([]byte, error)
	Decode([]byte) (T, error)
}

// JSON encodes messages in JSON. Unknown fields and trailing data are errors.
type JSON[T any] struct{}

// Encode returns the JSON form of v.
func (JSON[T]) Encode(v T) ([]byte, error) { return json.Marshal(v) }

// Decode reads exactly one value.
func (JSON[T]) Decode(data []byte) (T, error) {
	var v T
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&v); err != nil {
		return v, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if decoder.More() {
		return v, fmt.Errorf("%w: data after the value", ErrMalformed)
	}
	return v, nil
}

// CBOR encodes messages in CBOR with bounded nesting and sizes.
type CBOR[T any] struct{}

// Bounds of what a CBOR message may hold.
const (
	maxNesting  = 16
	maxElements = 1 << 17
)

var cborDecoder = mustDecMode(cbor.DecOptions{
	MaxNestedLevels: maxNesting, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
	DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	TextUnmarshaler: cbor.TextUnmarshalerTextString,
})

var cborEncoder = mustEncMode(cbor.EncOptions{Sort: cbor.SortCoreDeterministic, TextMarshaler: cbor.TextMarshalerTextString})

func mustDecMode(o cbor.DecOptions) cbor.DecMode {
	mode, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustEncMode(o cbor.EncOptions) cbor.EncMode {
	mode, err := o.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR form of v.
func (CBOR[T]) Encode(v T) ([]byte, error) { return cborEncoder.Marshal(v) }

// Decode reads exactly one value.
func (CBOR[T]) Decode(data []byte) (T, error) {
	var v T
	if err := cborDecoder.Unmarshal(data, &v); err != nil {
		return v, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return v, nil
}
