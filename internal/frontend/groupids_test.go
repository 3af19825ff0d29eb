package frontend

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

func TestGroupIDs_Lookup_ByOrderOfNames(t *testing.T) {
	ids := NewGroupIDs([]string{"tiles", "trace"})
	first, known := ids.Lookup("tiles")
	assert.True(t, known)
	assert.Equal(t, placement.GroupID(0), first)
	second, known := ids.Lookup("trace")
	assert.True(t, known)
	assert.Equal(t, placement.GroupID(1), second)
	_, known = ids.Lookup("route")
	assert.False(t, known)
}
