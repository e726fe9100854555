package codec

import "github.com/fxamacker/cbor/v2"

// Arrays is a list of values that are each encoded as an array (struct tag "toarray"). A
// later build of the writer may have appended elements to these arrays; they are ignored.
type Arrays[T any] []T

// UnmarshalCBOR decodes the list. Values without unknown elements take one pass.
func (a *Arrays[T]) UnmarshalCBOR(data []byte) error {
	var values []T
	if err := cborDecoder.Unmarshal(data, &values); err == nil {
		*a = values
		return nil
	}
	known, err := countElements[T]()
	if err != nil {
		return err
	}
	var raw [][]cbor.RawMessage
	if err := cborDecoder.Unmarshal(data, &raw); err != nil {
		return err
	}
	values = make([]T, len(raw))
	for i, elements := range raw {
		cut, err := cborEncoder.Marshal(elements[:min(len(elements), known)])
		if err != nil {
			return err
		}
		if err := cborDecoder.Unmarshal(cut, &values[i]); err != nil {
			return err
		}
	}
	*a = values
	return nil
}

// countElements returns the number of elements of an encoded T.
func countElements[T any]() (int, error) {
	var none T
	data, err := cborEncoder.Marshal(none)
	if err != nil {
		return 0, err
	}
	var elements []cbor.RawMessage
	err = cborDecoder.Unmarshal(data, &elements)
	return len(elements), err
}
