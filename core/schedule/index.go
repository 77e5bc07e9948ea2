package schedule

import (
	"cmp"
	"math/bits"
	"slices"

	"bramleythread/core/config"
)

const wordBits = 64

// bitmap is a set of positions in the global worker order.
type bitmap []uint64

func newBitmap(n int) bitmap { return make(bitmap, (n+wordBits-1)/wordBits) }

func (b bitmap) set(i int) { b[i/wordBits] |= 1 << (i % wordBits) }

func (b bitmap) clear(i int) { b[i/wordBits] &^= 1 << (i % wordBits) }

// each calls f for every position in ascending order until f returns false.
func (b bitmap) each(f func(i int) bool) {
	for k, word := range b {
		for word != 0 {
			if !f(k*wordBits + bits.TrailingZeros64(word)) {
				return
			}
			word &= word - 1
		}
	}
}

// bucketKey orders buckets by free accelerators, free slots and the accelerators
// bound to homes. Workers with fewer accelerators in homes come first, since
// borrowed resources on the others are more likely to be reclaimed.
type bucketKey struct {
	free             config.Demand
	homeAccelerators int
}

func compareKeys(a, b bucketKey) int {
	return cmp.Or(
		cmp.Compare(a.free.Accelerators, b.free.Accelerators),
		cmp.Compare(a.free.Slots, b.free.Slots),
		cmp.Compare(a.homeAccelerators, b.homeAccelerators),
	)
}

// bucket is the set of workers with the same key.
type bucket struct {
	key     bucketKey
	members bitmap
	count   int
}

// index finds ready workers by their free resources.
type index struct {
	size    int
	buckets []*bucket // sorted by key
	scratch bitmap
}

// reset empties the index and resizes it for n workers.
func (x *index) reset(n int) {
	x.size = n
	x.buckets = nil
	x.scratch = newBitmap(n)
}

func (x *index) bucketFor(key bucketKey) *bucket {
	i, ok := slices.BinarySearchFunc(x.buckets, key, func(b *bucket, k bucketKey) int { return compareKeys(b.key, k) })
	if !ok {
		x.buckets = slices.Insert(x.buckets, i, &bucket{key: key, members: newBitmap(x.size)})
	}
	return x.buckets[i]
}

func (x *index) insert(i int, key bucketKey) *bucket {
	b := x.bucketFor(key)
	b.members.set(i)
	b.count++
	return b
}

func (b *bucket) remove(i int) {
	b.members.clear(i)
	b.count--
}

// eachBestFit calls f for the workers that have room for d, those with the least
// free resources first, until f returns false.
func (x *index) eachBestFit(d config.Demand, f func(i int) bool) {
	more := true
	for _, b := range x.buckets {
		if b.count == 0 || !d.Fits(b.key.free) {
			continue
		}
		b.members.each(func(i int) bool {
			more = f(i)
			return more
		})
		if !more {
			return
		}
	}
}

// fitting returns the workers that have room for d. The result is valid until the
// next call.
func (x *index) fitting(d config.Demand) bitmap {
	clear(x.scratch)
	for _, b := range x.buckets {
		if b.count == 0 || !d.Fits(b.key.free) {
			continue
		}
		for k, word := range b.members {
			x.scratch[k] |= word
		}
	}
	return x.scratch
}
