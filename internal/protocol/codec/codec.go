// Package codec encodes and decodes messages of any type in JSON and in CBOR.
package codec

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Sentinels of decoding errors.
var (
	// ErrMalformed means that the message is not a value of its type.
	ErrMalformed = errors.New("malformed message")
	// ErrUnknown means that a sound message holds nothing that this build knows.
	ErrUnknown = errors.New("message of an unknown kind")
)

// Codec encodes and decodes messages of type T.
type Codec[T any] interface {
	Encode(T) ([]byte, error)
	Decode([]byte) (T, error)
}

// JSON encodes messages in JSON. Unknown fields are ignored: a later build of the writer may
// have added them. Trailing data is an error. It is for messages of other programs.
type JSON[T any] struct{}

// Encode encodes v.
func (JSON[T]) Encode(v T) ([]byte, error) { return json.Marshal(v) }

// Decode decodes exactly one value.
func (JSON[T]) Decode(data []byte) (T, error) {
	return decodeJSON[T](json.NewDecoder(bytes.NewReader(data)))
}

// StrictJSON is JSON with unknown fields as errors, for input that people write: there an
// unknown field is a spelling mistake. settings.Decode also lists all mistakes of a document.
type StrictJSON[T any] struct{ JSON[T] }

// Decode decodes exactly one value.
func (StrictJSON[T]) Decode(data []byte) (T, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decodeJSON[T](decoder)
}

func decodeJSON[T any](decoder *json.Decoder) (T, error) {
	var v T
	if err := decoder.Decode(&v); err != nil {
		return v, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if decoder.More() {
		return v, fmt.Errorf("%w: data after the value", ErrMalformed)
	}
	return v, nil
}

// CBOR encodes messages in CBOR. Unknown fields are ignored: a later build of the writer may
// have added them. Nesting and sizes are limited, and duplicate keys are errors.
type CBOR[T any] struct{}

// Limits of a decoded CBOR message.
const (
	maxNesting  = 16
	maxElements = 1 << 17
)

var cborDecoder = mustDecMode(cbor.DecOptions{
	MaxNestedLevels: maxNesting, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
	DupMapKey: cbor.DupMapKeyEnforcedAPF, TextUnmarshaler: cbor.TextUnmarshalerTextString,
	// An added field must not be taken for a known one that differs in case only.
	FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
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

// Encode encodes v.
func (CBOR[T]) Encode(v T) ([]byte, error) { return cborEncoder.Marshal(v) }

// Decode decodes exactly one value.
func (CBOR[T]) Decode(data []byte) (T, error) {
	var v T
	if err := cborDecoder.Unmarshal(data, &v); err != nil {
		return v, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return v, nil
}
