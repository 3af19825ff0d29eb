package frontend

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSortedValues_SortedByKeyAndCopied(t *testing.T) {
	table := map[string]int{"b": 2, "c": 3, "a": 1}
	values := SortedValues(table)
	assert.Equal(t, []int{1, 2, 3}, values)
	delete(table, "a")
	assert.Equal(t, []int{1, 2, 3}, values)
	assert.Empty(t, SortedValues(map[int]int{}))
}
