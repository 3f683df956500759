package fakedb

import (
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
)

// lockWait bounds the wait for a row that another transaction has written.
const lockWait = 2 * time.Second

func newCond(mu *sync.Mutex) *sync.Cond { return sync.NewCond(mu) }

// transaction buffers its writes until commit and locks the rows it writes.
// Reads see committed rows and the transaction's own writes (READ COMMITTED).
type transaction struct {
	slot     *Slot
	implicit bool
	readOnly bool
	writes   []write
	locked   []string
}

var errReadOnly = pgError{"25006", "cannot execute a write in a read-only transaction"}

func (tx *transaction) get(table, key string) (string, bool) {
	for i := len(tx.writes) - 1; i >= 0; i-- {
		if w := tx.writes[i]; w.table == table && w.key == key {
			return w.value, !w.deleted
		}
	}
	tx.slot.mu.Lock()
	defer tx.slot.mu.Unlock()
	value, ok := tx.slot.tables[table][key]
	return value, ok
}

// lock takes the row's lock; it refuses on a slot that does not lead.
func (tx *transaction) lock(table, key string) error {
	slot := tx.slot
	name := table + "\x00" + key
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if tx.readOnly || !slot.leading {
		return errReadOnly
	}
	deadline := time.Now().Add(lockWait)
	timer := time.AfterFunc(lockWait, slot.unlock.Broadcast)
	defer timer.Stop()
	for slot.locks[name] != nil && slot.locks[name] != tx {
		if !time.Now().Before(deadline) {
			return pgError{"40P01", "deadlock or long wait for a row"}
		}
		slot.unlock.Wait()
		if !slot.leading || slot.killed {
			return errReadOnly
		}
	}
	if slot.locks[name] == nil {
		slot.locks[name] = tx
		tx.locked = append(tx.locked, name)
	}
	return nil
}

func (tx *transaction) put(w write) { tx.writes = append(tx.writes, w) }

// commit appends the writes to the log if the slot still leads. A slot that
// lost its term appends nothing, so its refusal is final.
func (tx *transaction) commit() (posn.Position, error) {
	slot := tx.slot
	slot.mu.Lock()
	defer slot.mu.Unlock()
	defer tx.unlockAll()
	if len(tx.writes) == 0 {
		return posn.Position{}, nil
	}
	if !slot.leading || slot.killed {
		return posn.Position{}, errReadOnly
	}
	return slot.append(tx.writes), nil
}

func (tx *transaction) rollback() {
	tx.slot.mu.Lock()
	defer tx.slot.mu.Unlock()
	tx.unlockAll()
}

func (tx *transaction) unlockAll() {
	for _, name := range tx.locked {
		if tx.slot.locks[name] == tx {
			delete(tx.slot.locks, name)
		}
	}
	tx.locked = nil
	tx.slot.unlock.Broadcast()
}
