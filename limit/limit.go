// Package limit has the bounded fair queue of requests that wait for a
// connection. It is pure: time is passed in.
//
// Rules:
//
//  15. Queues are bounded and shed early, the request with the earliest deadline
//     first, from the caller that has most requests waiting; so one caller can't
//     starve the others. Callers take turns.
package limit

import (
	"slices"
	"time"
)

// Item is a waiting request.
type Item[T any] struct {
	Value    T
	Caller   string
	Deadline time.Time
}

// Queue is a bounded queue that is fair between callers. It is not safe for
// concurrent use.
type Queue[T comparable] struct {
	// Limit bounds the items; a change takes effect with the next Push.
	Limit int

	byCaller map[string][]Item[T]
	turns    []string
	size     int
}

// Len is the number of waiting items.
func (queue *Queue[T]) Len() int { return queue.size }

// Push adds an item. If the queue is full, one item is shed to make room; it
// may be the new one.
func (queue *Queue[T]) Push(item Item[T]) (shed Item[T], isShed bool) {
	if queue.byCaller == nil {
		queue.byCaller = make(map[string][]Item[T])
	}
	if len(queue.byCaller[item.Caller]) == 0 {
		queue.turns = append(queue.turns, item.Caller)
	}
	queue.byCaller[item.Caller] = append(queue.byCaller[item.Caller], item)
	queue.size++
	return queue.Shed()
}

// Shed removes one item if the queue holds more than its limit, as it may after the
// limit was lowered.
func (queue *Queue[T]) Shed() (shed Item[T], isShed bool) {
	if queue.size <= queue.Limit {
		return shed, false
	}
	return queue.shed(), true
}

func (queue *Queue[T]) shed() Item[T] {
	// The turn order breaks ties, so that the result doesn't depend on the
	// order of a map.
	longest := queue.turns[0]
	for _, caller := range queue.turns {
		if len(queue.byCaller[caller]) > len(queue.byCaller[longest]) {
			longest = caller
		}
	}
	items := queue.byCaller[longest]
	earliest := 0
	for i, item := range items {
		if item.Deadline.Before(items[earliest].Deadline) {
			earliest = i
		}
	}
	item := items[earliest]
	queue.removeAt(longest, earliest)
	return item
}

// Pop removes the next item in turn.
func (queue *Queue[T]) Pop() (Item[T], bool) {
	if queue.size == 0 {
		var none Item[T]
		return none, false
	}
	caller := queue.turns[0]
	item := queue.byCaller[caller][0]
	queue.removeAt(caller, 0)
	if len(queue.byCaller[caller]) > 0 {
		queue.turns = append(queue.turns[1:], caller)
	}
	return item, true
}

// PushFront puts back an item that Pop returned, as the next in turn. It sheds
// nothing, since its place was free a moment before.
func (queue *Queue[T]) PushFront(item Item[T]) {
	if turn := slices.Index(queue.turns, item.Caller); turn >= 0 {
		queue.turns = slices.Delete(queue.turns, turn, turn+1)
	}
	queue.turns = slices.Insert(queue.turns, 0, item.Caller)
	queue.byCaller[item.Caller] = slices.Insert(queue.byCaller[item.Caller], 0, item)
	queue.size++
}

// Remove takes out an item whose request has ended; false if it isn't there.
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
	turn := slices.Index(queue.turns, caller)
	queue.turns = slices.Delete(queue.turns, turn, turn+1)
}
