package model

import (
	"strconv"

	"github.com/pkg/errors"
)

// Revision names a state of the store: the store's era and, within it, the count of its
// changes. A store that comes back from an older copy begins a new era and gives counts out
// again, so a count alone names nothing. Revisions are ordered as numbers, all of one era
// before those of the next, and equal only if they are of one era.
//
// It is also the fencing token of whoever won leadership at it. Engines compare tokens as
// numbers, and remember higher ones through all eras.
type Revision int64

const (
	// countBits hold the count; with the era above them a revision stays below 2^53, the
	// largest number that every reader of JSON keeps exactly.
	countBits = 40
	mostCount = 1<<countBits - 1
	mostEra   = 1<<(53-countBits) - 1
)

// NewRevision makes a revision. A store that counts neither eras nor changes beyond these
// bounds has not been met; its answers are refused.
func NewRevision(era, count int64) (Revision, error) {
	if era < 0 || era > mostEra || count < 0 || count > mostCount {
		return 0, errors.Errorf("revision %d of era %d is out of range", count, era)
	}
	return Revision(era<<countBits | count), nil
}

// Era is the store's era; 0 where it tells none.
func (r Revision) Era() int64 { return int64(r >> countBits) }

// Count is the count of changes within the era.
func (r Revision) Count() int64 { return int64(r & mostCount) }

// String gives era and count, as logs show them.
func (r Revision) String() string {
	count := strconv.FormatInt(r.Count(), 10)
	if r.Era() == 0 {
		return count
	}
	return strconv.FormatInt(r.Era(), 10) + "/" + count
}
