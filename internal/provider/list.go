package provider

import (
	"bytes"
	"encoding/json"
)

// MaxListLength is the maximum number of elements of a List. The largest table holds
// some 8,000 rows.
const MaxListLength = 50_000

// List is a slice that is decoded from JSON only up to MaxListLength elements: decoded
// elements may be much larger than their JSON.
type List[T any] []T

// UnmarshalJSON decodes a JSON array, or null.
func (l *List[T]) UnmarshalJSON(encoded []byte) error {
	*l = nil
	return decodeElements(encoded, func(decoder *json.Decoder) error {
		var element T
		if err := decoder.Decode(&element); err != nil {
			return err
		}
		*l = append(*l, element)
		return nil
	})
}

// listWithInvalid is a List whose elements are decoded one by one: those that can't be, or
// that are invalid, are left out.
type listWithInvalid[T interface{ validate() error }] struct {
	valid   []T
	invalid []error
}

// UnmarshalJSON decodes a JSON array, or null.
func (l *listWithInvalid[T]) UnmarshalJSON(encoded []byte) error {
	*l = listWithInvalid[T]{}
	return decodeElements(encoded, func(decoder *json.Decoder) error {
		var element json.RawMessage
		if err := decoder.Decode(&element); err != nil {
			return err
		}
		var decoded T
		err := json.Unmarshal(element, &decoded)
		if err == nil {
			err = decoded.validate()
		}
		if err != nil {
			l.invalid = append(l.invalid, err)
			return nil
		}
		l.valid = append(l.valid, decoded)
		return nil
	})
}

// decodeElements calls a function that decodes the next element for each element of a JSON
// array, up to MaxListLength.
func decodeElements(encoded []byte, decode func(*json.Decoder) error) error {
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	start, err := decoder.Token()
	if err != nil || start == nil {
		return err
	}
	if start != json.Delim('[') {
		return Unreachable.New("%v begins no list", start)
	}
	for n := 1; decoder.More(); n++ {
		if n > MaxListLength {
			return Unreachable.New("a list has more than %d elements", MaxListLength)
		}
		if err := decode(decoder); err != nil {
			return err
		}
	}
	return nil
}
