package container_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"carawaycross.example/carawaycross/core/container"
	"carawaycross.example/carawaycross/core/ident"
)

// queued is a value in the model of a Queue.
type queued struct{ rank, value int }

// TestQueueAgainstModel compares a Queue with an unsorted list.
func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(0, 6).Draw(t, "room")
		const ranks = 3
		q := container.NewQueue[int](capacity, ranks)
		var model []queued
		n := 0
		first := func() int {
			best := 0
			for i := range model {
				if model[i].rank < model[best].rank {
					best = i
				}
			}
			return best
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				n++
				rank := rapid.IntRange(0, ranks-1).Draw(t, "rank")
				canPush := q.CanPush(rank)
				evicted, full := q.Push(rank, n)
				if canPush == (full && evicted == n) {
					t.Fatalf("CanPush is %v, but Push evicted %d (full: %v)", canPush, evicted, full)
				}
				model = append(model, queued{rank, n})
				if !full {
					return
				}
				i := slices.IndexFunc(model, func(v queued) bool { return v.value == evicted })
				if i < 0 || model[i].rank < rank {
					t.Fatalf("evicted %d, which is not queued or has a higher priority than rank %d", evicted, rank)
				}
				model = slices.Delete(model, i, i+1)
			},
			"pop": func(t *rapid.T) {
				v, ok := q.Pop()
				if ok != (len(model) > 0) {
					t.Fatalf("Pop returned %v with %d values queued", ok, len(model))
				}
				if ok {
					i := first()
					if model[i].value != v {
						t.Fatalf("popped %d, expected %d", v, model[i].value)
					}
					model = slices.Delete(model, i, i+1)
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(model) || q.Len() > max(capacity, 0) {
					t.Fatalf("queue holds %d values, expected %d, capacity %d", q.Len(), len(model), capacity)
				}
			},
		})
	})
}

// TestTimersPopInOrder compares Timers with a sorted list.
func TestTimersPopInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.SliceOf(rapid.IntRange(0, 50)).Draw(t, "at")
		var timers container.Timers[int]
		for _, v := range at {
			timers.Add(ident.Instant(v), v)
		}
		slices.Sort(at)
		for _, want := range at {
			if _, early := timers.Pop(ident.Instant(want) - 1); early {
				t.Fatal("a value was popped before it was due")
			}
			if got, ok := timers.Pop(ident.Instant(want)); !ok || got != want {
				t.Fatalf("popped %d, expected %d", got, want)
			}
		}
		if timers.Next() != ident.Never {
			t.Fatal("Next of an empty heap is not ident.Never")
		}
	})
}

// TestSlabHandles checks that handles return their values until they are freed and
// stay invalid afterwards.
func TestSlabHandles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var slab container.Slab[int]
		live := map[container.Handle]int{}
		var freed []container.Handle
		t.Repeat(map[string]func(*rapid.T){
			"put": func(*rapid.T) {
				v := len(live) + len(freed)
				live[slab.Put(v)] = v
			},
			"free": func(*rapid.T) {
				for h := range live {
					slab.Free(h)
					delete(live, h)
					freed = append(freed, h)
					return
				}
			},
			"": func(t *rapid.T) {
				for h, v := range live {
					if got := slab.Get(h); got == nil || *got != v {
						t.Fatalf("handle %d does not return its value", h)
					}
				}
				for _, h := range freed {
					if slab.Get(h) != nil {
						t.Fatalf("freed handle %d returns a value", h)
					}
				}
				if slab.Len() != len(live) {
					t.Fatalf("slab holds %d values, expected %d", slab.Len(), len(live))
				}
			},
		})
	})
}

// TestWindowDropsOldValues checks that a Window sums the values of the last span,
// with a tolerance of one bucket.
func TestWindowDropsOldValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := container.Window[int]{Span: 800 * time.Millisecond}
		var adds []ident.Instant
		now := ident.Instant(time.Hour)
		for range rapid.IntRange(1, 60).Draw(t, "adds") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			w.Add(now, 1)
			adds = append(adds, now)
		}
		sum := w.Sum(now)
		low, high := 0, 0
		for _, at := range adds {
			if now.Sub(at) < 700*time.Millisecond {
				low++
			}
			if now.Sub(at) <= 800*time.Millisecond {
				high++
			}
		}
		if sum < low || sum > high {
			t.Fatalf("sum is %d, expected %d to %d", sum, low, high)
		}
	})
}

func TestRingKeepsTheLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 5).Draw(t, "size")
		values := rapid.SliceOf(rapid.Int()).Draw(t, "values")
		r := container.NewRing[int](size)
		for _, v := range values {
			r.Push(v)
		}
		want := values[max(0, len(values)-size):]
		if !slices.Equal(r.Values(), want) && len(want) > 0 {
			t.Fatalf("ring holds %v, expected %v", r.Values(), want)
		}
	})
}
