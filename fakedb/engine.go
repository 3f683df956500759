package fakedb

import (
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
)

// lockTimeout bounds the wait for a row lock of another transaction.
const lockTimeout = 2 * time.Second

func newCond(mu *sync.Mutex) *sync.Cond { return sync.NewCond(mu) }

// transaction buffers its writes until commit and locks the rows that it writes.
// Reads see committed rows and the transaction's own writes (READ COMMITTED).
type transaction struct {
	slot *Slot
	// isImplicit says that the transaction consists of one statement outside of BEGIN.
	isImplicit bool
	isReadOnly bool
	writes     []write
	// lockedRows are keys of Slot.rowLocks.
	lockedRows []string
}

var errReadOnly = pgError{"25006", "cannot execute a write in a read-only transaction"}

// get returns the value of a row and reports whether the row exists.
func (transaction *transaction) get(table, key string) (string, bool) {
	for i := len(transaction.writes) - 1; i >= 0; i-- {
		if write := transaction.writes[i]; write.table == table && write.key == key {
			return write.value, !write.isDeleted
		}
	}
	transaction.slot.mu.Lock()
	defer transaction.slot.mu.Unlock()
	value, ok := transaction.slot.tables[table][key]
	return value, ok
}

// lock acquires the lock of a row. It fails in a read-only transaction, on a slot
// that is not the primary, and after lockTimeout.
func (transaction *transaction) lock(table, key string) error {
	slot := transaction.slot
	row := table + "\x00" + key
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if transaction.isReadOnly || !slot.isPrimary {
		return errReadOnly
	}
	deadline := time.Now().Add(lockTimeout)
	timer := time.AfterFunc(lockTimeout, slot.lockReleased.Broadcast)
	defer timer.Stop()
	for slot.rowLocks[row] != nil && slot.rowLocks[row] != transaction {
		if !time.Now().Before(deadline) {
			return pgError{"40P01", "deadlock or long wait for a row"}
		}
		slot.lockReleased.Wait()
		if !slot.isPrimary || slot.isKilled {
			return errReadOnly
		}
	}
	if slot.rowLocks[row] == nil {
		slot.rowLocks[row] = transaction
		transaction.lockedRows = append(transaction.lockedRows, row)
	}
	return nil
}

func (transaction *transaction) put(write write) {
	transaction.writes = append(transaction.writes, write)
}

// commit appends the writes to the log and returns the position of the new entry,
// which is zero without writes. A slot that is no longer the primary appends nothing,
// so an error means that the transaction did not commit.
func (transaction *transaction) commit() (posn.Position, error) {
	slot := transaction.slot
	slot.mu.Lock()
	defer slot.mu.Unlock()
	defer transaction.releaseLocks()
	if len(transaction.writes) == 0 {
		return posn.Position{}, nil
	}
	if !slot.isPrimary || slot.isKilled {
		return posn.Position{}, errReadOnly
	}
	return slot.append(transaction.writes), nil
}

func (transaction *transaction) rollback() {
	transaction.slot.mu.Lock()
	defer transaction.slot.mu.Unlock()
	transaction.releaseLocks()
}

func (transaction *transaction) releaseLocks() {
	for _, row := range transaction.lockedRows {
		if transaction.slot.rowLocks[row] == transaction {
			delete(transaction.slot.rowLocks, row)
		}
	}
	transaction.lockedRows = nil
	transaction.slot.lockReleased.Broadcast()
}
