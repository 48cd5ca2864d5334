package disk

import (
	"slices"

	"github.com/mangoknot/mangoknot/core/domain"
)

// memoryStore keeps the records of a stream in memory.
type memoryStore struct{ records []domain.Record }

func (s *memoryStore) load(apply func(domain.Record) error) error {
	for _, r := range s.records {
		if err := apply(r); err != nil {
			return err
		}
	}
	return nil
}

func (s *memoryStore) append(records []domain.Record) error {
	s.records = append(s.records, records...)
	return nil
}

func (s *memoryStore) replace(records []domain.Record) error {
	s.records = slices.Clone(records)
	return nil
}

func (s *memoryStore) close() error { return nil }
