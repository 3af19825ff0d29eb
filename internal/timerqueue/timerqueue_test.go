package timerqueue

import (
	"cmp"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"grebeglade/placement"
)

// due is the sort key of a value in the model: due time, then number.
type due struct {
	at     placement.Millis
	number uint64
}

// Guards against a wrong order of popped values: random pushes and pops are compared with a sorted slice.
func TestQueue_Pop_ByTimeThenPushOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[uint64] // each value is its own number
		var model []due
		pushed := uint64(0)
		pop := func() {
			next, ok := q.NextTime()
			assert.True(t, ok)
			at, number, value := q.Pop()
			want := model[0]
			assert.Equal(t, want, due{at, number})
			assert.Equal(t, want, due{next, number})
			assert.Equal(t, number, value)
			model = model[1:]
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(model) > 0 && rapid.Bool().Draw(t, "pop") {
				pop()
				continue
			}
			at := placement.Millis(rapid.IntRange(0, 8).Draw(t, "at"))
			pushed++
			assert.Equal(t, pushed, q.Push(at, pushed))
			model = append(model, due{at, pushed})
			slices.SortStableFunc(model, func(x, y due) int {
				return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.number, y.number))
			})
			assert.Equal(t, len(model), q.Len())
		}
		for q.Len() > 0 {
			pop()
		}
		assert.Empty(t, model)
		_, ok := q.NextTime()
		assert.False(t, ok)
	})
}
