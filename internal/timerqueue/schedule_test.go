package timerqueue

import (
	"cmp"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"grebeglade/placement"
)

func TestThingsComeDueByTimeThenInTheOrderOfAdding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[uint64]
		var want []struct {
			at placement.Millis
			no uint64
		}
		take := func() {
			at, no, v := q.Pop()
			assert.Equal(t, want[0].no, no)
			assert.Equal(t, want[0].at, at)
			assert.Equal(t, no, v)
			want = want[1:]
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(want) > 0 && rapid.Bool().Draw(t, "take") {
				take()
				continue
			}
			at := placement.Millis(rapid.IntRange(0, 8).Draw(t, "at"))
			no := q.Push(at, 0)
			q.items[slices.IndexFunc(q.items, func(x item[uint64]) bool { return x.no == no })].v = no
			want = append(want, struct {
				at placement.Millis
				no uint64
			}{at, no})
			slices.SortStableFunc(want, func(x, y struct {
				at placement.Millis
				no uint64
			},
			) int {
				return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.no, y.no))
			})
			_ = i
		}
		for q.Len() > 0 {
			take()
		}
		assert.Empty(t, want)
	})
}
