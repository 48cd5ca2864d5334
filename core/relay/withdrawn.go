package relay

import (
	"slices"

	"github.com/mangoknot/mangoknot/core/config"
	"github.com/mangoknot/mangoknot/core/domain"
)

// withdrawnBucketCount is the number of buckets into which the set is split for
// comparison. 64 sums fit into one message of about 600 bytes, and a difference of
// one key resends 1/64 of the set.
const withdrawnBucketCount = 64

// Digest identifies the content of a set with high probability. Sum is the XOR of
// the key hashes.
type Digest struct {
	Count uint64
	Sum   uint64
}

// WithdrawnSet is a grow-only set of withdrawn keys. Merging is commutative and
// idempotent, so sets converge in any order of messages. The zero value is an
// empty set.
type WithdrawnSet struct {
	buckets [withdrawnBucketCount]map[config.KeyID]struct{}
	sums    [withdrawnBucketCount]uint64
	count   uint64
}

func keyHash(id config.KeyID) uint64 { return domain.Hash64("withdrawn", string(id)) }

// Has reports whether a key is withdrawn.
func (w *WithdrawnSet) Has(id config.KeyID) bool {
	_, ok := w.buckets[keyHash(id)%withdrawnBucketCount][id]
	return ok
}

// Merge adds keys and returns those that were not in the set.
func (w *WithdrawnSet) Merge(ids ...config.KeyID) []config.KeyID {
	var added []config.KeyID
	for _, id := range ids {
		h := keyHash(id)
		b := h % withdrawnBucketCount
		if _, ok := w.buckets[b][id]; ok {
			continue
		}
		if w.buckets[b] == nil {
			w.buckets[b] = map[config.KeyID]struct{}{}
		}
		w.buckets[b][id] = struct{}{}
		w.sums[b] ^= h
		w.count++
		added = append(added, id)
	}
	return added
}

// Keys returns all keys in sorted order.
func (w *WithdrawnSet) Keys() []config.KeyID {
	all := make([]int, withdrawnBucketCount)
	for i := range all {
		all[i] = i
	}
	return w.keysOf(all)
}

// keysOf returns the sorted keys of some buckets. It ignores invalid bucket
// numbers.
func (w *WithdrawnSet) keysOf(buckets []int) []config.KeyID {
	var ids []config.KeyID
	for _, b := range buckets {
		if b < 0 || b >= withdrawnBucketCount {
			continue
		}
		for id := range w.buckets[b] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Digest returns the digest of the whole set.
func (w *WithdrawnSet) Digest() Digest {
	d := Digest{Count: w.count}
	for _, sum := range w.sums {
		d.Sum ^= sum
	}
	return d
}

// Sums returns the digest of each bucket.
func (w *WithdrawnSet) Sums() []uint64 { return slices.Clone(w.sums[:]) }

// Delta returns the buckets that differ from another set's sums, and the keys in
// them. It returns nil if the number of sums is not the number of buckets.
func (w *WithdrawnSet) Delta(sums []uint64) ([]config.KeyID, []int) {
	if len(sums) != withdrawnBucketCount {
		return nil, nil
	}
	var differ []int
	for b, sum := range w.sums {
		if sum != sums[b] {
			differ = append(differ, b)
		}
	}
	return w.keysOf(differ), differ
}
