// Package codec encodes messages and records as CBOR. Each registered struct is
// encoded with a CBOR tag that is derived from its stable name, so that fields of
// an interface type can hold it. Unknown fields of newer versions are ignored.
package codec

import (
	"errors"
	"fmt"
	"hash/fnv"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"github.com/mangoknot/mangoknot/core/domain"
)

// firstTag is the lowest tag in use. Tags from 2^32 are outside the ranges that
// the CBOR tag registry assigns to common types.
const firstTag = 1 << 32

// Limits on decoded input, so that a corrupt length cannot exhaust memory.
const (
	maxNesting  = 32
	maxElements = 1 << 20
)

// errNull reports a CBOR null where a typed value is required.
var errNull = errors.New("the input holds null instead of a typed value")

// Codec encodes and decodes the types that were registered by New. It is
// immutable and safe for concurrent use.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// New returns a codec for the given message and record types. It returns an error
// when two names share a tag or a type cannot be registered.
func New(messages []domain.Message, records []domain.Record) (*Codec, error) {
	tags := cbor.NewTagSet()
	names := map[uint64]string{}
	add := func(name string, value any) error {
		tag := tagOf(name)
		if other, ok := names[tag]; ok {
			return fmt.Errorf("codec: %q and %q share tag %d; rename one of them", other, name, tag)
		}
		names[tag] = name
		options := cbor.TagOptions{EncTag: cbor.EncTagRequired, DecTag: cbor.DecTagRequired}
		kind := reflect.TypeOf(value)
		if kind.Kind() != reflect.Pointer || kind.Elem().Kind() != reflect.Struct {
			return fmt.Errorf("codec: %q is a %v; register a pointer to a struct", name, kind)
		}
		if err := tags.Add(options, kind.Elem(), tag); err != nil {
			return fmt.Errorf("codec: register %q: %w", name, err)
		}
		return nil
	}
	for _, m := range messages {
		if err := add(m.MessageName(), m); err != nil {
			return nil, err
		}
	}
	for _, r := range records {
		if err := add(r.RecordName(), r); err != nil {
			return nil, err
		}
	}
	return build(tags)
}

// build returns a codec for the registered tags.
func build(tags cbor.TagSet) (*Codec, error) {
	enc, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic, Time: cbor.TimeRFC3339Nano, ShortestFloat: cbor.ShortestFloat16}.EncModeWithTags(tags)
	if err != nil {
		return nil, fmt.Errorf("codec: encoder options: %w", err)
	}
	dec, err := cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecModeWithTags(tags)
	if err != nil {
		return nil, fmt.Errorf("codec: decoder options: %w", err)
	}
	return &Codec{enc: enc, dec: dec}, nil
}

// tagOf derives the tag of a message or record from its name.
func tagOf(name string) uint64 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return firstTag + uint64(h.Sum32())
}

// EncodeMessage returns the tagged encoding of a registered message.
func (c *Codec) EncodeMessage(m domain.Message) ([]byte, error) { return c.enc.Marshal(m) }

// DecodeMessage returns the registered message that data encodes.
func (c *Codec) DecodeMessage(data []byte) (domain.Message, error) {
	var m domain.Message
	if err := c.dec.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("codec: decode message (check that both VMs run compatible versions): %w", err)
	}
	if m == nil {
		return nil, fmt.Errorf("codec: decode message: %w", errNull)
	}
	if v, ok := m.(domain.Validator); ok {
		if err := v.Validate(); err != nil {
			return nil, fmt.Errorf("codec: decode message: %w", err)
		}
	}
	return m, nil
}

// EncodeRecord returns the tagged encoding of a registered record.
func (c *Codec) EncodeRecord(r domain.Record) ([]byte, error) { return c.enc.Marshal(r) }

// DecodeRecord returns the registered record that data encodes.
func (c *Codec) DecodeRecord(data []byte) (domain.Record, error) {
	var r domain.Record
	if err := c.dec.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("codec: decode record (the file may come from an incompatible version): %w", err)
	}
	if r == nil {
		return nil, fmt.Errorf("codec: decode record: %w", errNull)
	}
	return r, nil
}
