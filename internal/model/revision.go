package model

import (
	"strconv"

	"github.com/pkg/errors"
)

// Revision identifies a state of the store by the store's era and the number of changes
// within it. A store that is restored from an older copy begins a new era and reuses
// counts, so a count alone is ambiguous. Revisions are ordered as numbers. All
// revisions of an era are lower than those of the next.
//
// The revision at which a process won leadership is also its fencing token. Engines
// compare tokens as numbers and keep the highest one across eras.
type Revision int64

const (
	// countBits is the size of the count. With the era above it, a revision is below
	// 2^53, the largest range of integers that all JSON decoders represent exactly.
	countBits = 40
	maxCount  = 1<<countBits - 1
	maxEra    = 1<<(53-countBits) - 1
)

// NewRevision returns the revision with an era and a count. It returns an error if
// either is out of range.
func NewRevision(era, count int64) (Revision, error) {
	if era < 0 || era > maxEra || count < 0 || count > maxCount {
		return 0, errors.Errorf("revision %d of era %d is out of range", count, era)
	}
	return Revision(era<<countBits | count), nil
}

// Era returns the store's era, or 0 if the store reports none.
func (r Revision) Era() int64 { return int64(r >> countBits) }

// Count returns the number of changes within the era.
func (r Revision) Count() int64 { return int64(r & maxCount) }

// String returns "era/count", or only the count in era 0.
func (r Revision) String() string {
	count := strconv.FormatInt(r.Count(), 10)
	if r.Era() == 0 {
		return count
	}
	return strconv.FormatInt(r.Era(), 10) + "/" + count
}
