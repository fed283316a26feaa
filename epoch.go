package chervilladder

// Epoch is a fencing token: it rises whenever failover leadership passes to another VM,
// also when the platform's store has come back from an older copy and no longer holds the
// epochs that it has recorded. Its upper half is the store's era in which the leadership
// was taken.
type Epoch uint64

// epochNumberBits is the length of the part of an epoch below its era.
const epochNumberBits = 32

// NextEpoch returns the epoch of a VM that takes over a record with a former epoch, as read
// at a revision of the store. It is above the former epoch and above all of earlier eras.
//
// It is also above all epochs of the same era that the record has borne before that
// revision and bears no longer: a holder of an earlier era may have replaced the record,
// since a write names the expected revision without its era.
func NextEpoch(former Epoch, at StoreRevision) Epoch {
	number := min(Epoch(at.Revision), 1<<epochNumberBits-1)
	return max(former+1, Epoch(at.Era)<<epochNumberBits|number)
}

// Era returns the store's era in which the leadership was taken.
func (e Epoch) Era() Era { return Era(e >> epochNumberBits) }
