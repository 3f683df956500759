package fairq_test

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bramleydoor/bramleydoor/fairq"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var start = time.Unix(1000, 0)

func item(caller string, value int) fairq.Item[int] {
	return fairq.Item[int]{Value: value, Caller: caller, Deadline: start.Add(time.Duration(value) * time.Second)}
}

// Rule 15: a full queue sheds the item with the earliest deadline of the caller with
// the most items, and Pop serves the callers round-robin.
func TestFairness(t *testing.T) {
	c := qt.New(t)
	queue := fairq.Queue[int]{Limit: 4}
	for _, next := range []fairq.Item[int]{item("kiosk", 3), item("kiosk", 1), item("kiosk", 2), item("clerk", 9)} {
		_, isShed := queue.Push(next)
		c.Assert(isShed, qt.IsFalse)
	}
	shed, isShed := queue.Push(item("driver", 8))
	c.Assert(isShed, qt.IsTrue)
	c.Assert(shed.Value, qt.Equals, 1)
	var order []int
	for queue.Len() > 0 {
		next, _ := queue.Pop()
		order = append(order, next.Value)
	}
	c.Assert(order, qt.DeepEquals, []int{3, 9, 8, 2})
}

// Compares the queue with a model under random operations: it has exactly the items
// that were pushed and not removed, and never more than its limit.
func TestQueueModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := fairq.Queue[int]{Limit: rapid.IntRange(1, 5).Draw(t, "limit")}
		model := make(map[int]string)
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if queue.Len() != len(model) || queue.Len() > queue.Limit {
					t.Fatalf("queue has %d items, want %d and at most %d", queue.Len(), len(model), queue.Limit)
				}
			},
			"push": func(t *rapid.T) {
				next++
				caller := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller")
				model[next] = caller
				if shed, ok := queue.Push(item(caller, next)); ok {
					delete(model, shed.Value)
				}
			},
			"pop": func(t *rapid.T) {
				popped, ok := queue.Pop()
				if ok != (len(model) > 0) || ok && model[popped.Value] != popped.Caller {
					t.Fatalf("Pop returned %v, %v; the queue should have %v", popped, ok, model)
				}
				if ok && rapid.Bool().Draw(t, "back") {
					queue.PushFront(popped)
					return
				}
				delete(model, popped.Value)
			},
			"remove": func(t *rapid.T) {
				for value, caller := range model {
					if !queue.Remove(caller, value) {
						t.Fatalf("item %d is not in the queue", value)
					}
					delete(model, value)
					return
				}
			},
		})
	})
}
