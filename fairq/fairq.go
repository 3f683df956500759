// Package fairq implements a bounded queue for requests that wait for a connection.
// The queue is fair between callers. It reads no clock: times are passed in.
//
// Rules (numbers as in docs/DESIGN.md; each package states its part):
//
//  15. Queues are bounded and shed early: a queue above its limit does not wait for a
//     deadline to pass, but at once sheds one request, which is then refused. It is the
//     request with the earliest deadline of the caller with the most waiting requests,
//     so that one caller can't starve the others. Callers are served round-robin.
package fairq

import (
	"slices"
	"time"
)

// Item is a waiting request.
type Item[T any] struct {
	Value T
	// Caller is the name of the caller whose request it is. All items with the same name
	// share one turn.
	Caller   string
	Deadline time.Time
}

// Queue is a bounded queue that is fair between callers. It is not safe for
// concurrent use.
type Queue[T comparable] struct {
	// Limit bounds the number of items. A change takes effect with the next Push or
	// Shed, one item for each call.
	Limit int

	// byCaller has each caller's items, oldest first.
	byCaller map[string][]Item[T]
	// turnOrder has the callers with waiting items; the first one is served next.
	turnOrder []string
	size      int
}

// Len returns the number of waiting items.
func (queue *Queue[T]) Len() int { return queue.size }

// Push adds an item. If the queue then exceeds its limit, one item is removed and
// returned; it may be the new one.
func (queue *Queue[T]) Push(item Item[T]) (shed Item[T], isShed bool) {
	if queue.byCaller == nil {
		queue.byCaller = make(map[string][]Item[T])
	}
	if len(queue.byCaller[item.Caller]) == 0 {
		queue.turnOrder = append(queue.turnOrder, item.Caller)
	}
	queue.byCaller[item.Caller] = append(queue.byCaller[item.Caller], item)
	queue.size++
	return queue.Shed()
}

// Shed removes and returns one item if the queue exceeds its limit, as it may after
// the limit was lowered. Call it until isShed is false.
func (queue *Queue[T]) Shed() (shed Item[T], isShed bool) {
	if queue.size <= queue.Limit {
		return shed, false
	}
	return queue.shedFromBusiest(), true
}

// shedFromBusiest removes the item with the earliest deadline of the caller with the most
// items.
func (queue *Queue[T]) shedFromBusiest() Item[T] {
	// Ties are broken by the turn order, so that the result does not depend on the
	// iteration order of a map.
	busiest := queue.turnOrder[0]
	for _, caller := range queue.turnOrder {
		if len(queue.byCaller[caller]) > len(queue.byCaller[busiest]) {
			busiest = caller
		}
	}
	items := queue.byCaller[busiest]
	earliest := 0
	for i, item := range items {
		if item.Deadline.Before(items[earliest].Deadline) {
			earliest = i
		}
	}
	item := items[earliest]
	queue.removeAt(busiest, earliest)
	return item
}

// Pop removes and returns the oldest item of the next caller in turn. It returns false
// if the queue is empty.
func (queue *Queue[T]) Pop() (Item[T], bool) {
	if queue.size == 0 {
		var none Item[T]
		return none, false
	}
	caller := queue.turnOrder[0]
	item := queue.byCaller[caller][0]
	queue.removeAt(caller, 0)
	if len(queue.byCaller[caller]) > 0 {
		queue.turnOrder = append(queue.turnOrder[1:], caller)
	}
	return item, true
}

// PushFront puts back the item that the last call of Pop returned, as the next one in
// turn; no other item may have been added since. It sheds nothing, since Pop has freed
// the item's place.
func (queue *Queue[T]) PushFront(item Item[T]) {
	if turn := slices.Index(queue.turnOrder, item.Caller); turn >= 0 {
		queue.turnOrder = slices.Delete(queue.turnOrder, turn, turn+1)
	}
	queue.turnOrder = slices.Insert(queue.turnOrder, 0, item.Caller)
	queue.byCaller[item.Caller] = slices.Insert(queue.byCaller[item.Caller], 0, item)
	queue.size++
}

// Remove removes the item of a request that has ended. It returns false if the item is
// not in the queue.
func (queue *Queue[T]) Remove(caller string, value T) bool {
	index := slices.IndexFunc(queue.byCaller[caller], func(item Item[T]) bool { return item.Value == value })
	if index < 0 {
		return false
	}
	queue.removeAt(caller, index)
	return true
}

func (queue *Queue[T]) removeAt(caller string, index int) {
	items := slices.Delete(queue.byCaller[caller], index, index+1)
	queue.size--
	if len(items) > 0 {
		queue.byCaller[caller] = items
		return
	}
	delete(queue.byCaller, caller)
	turn := slices.Index(queue.turnOrder, caller)
	queue.turnOrder = slices.Delete(queue.turnOrder, turn, turn+1)
}
