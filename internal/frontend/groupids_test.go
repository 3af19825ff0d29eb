package frontend

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

func TestGroupIDs_Lookup_ByOrderOfNames(t *testing.T) {
	ids := NewGroupIDs([]string{"tiles", "trace"})
	first, configured := ids.Lookup("tiles")
	assert.True(t, configured)
	assert.Equal(t, placement.GroupID(0), first)
	second, configured := ids.Lookup("trace")
	assert.True(t, configured)
	assert.Equal(t, placement.GroupID(1), second)
	_, configured = ids.Lookup("route")
	assert.False(t, configured)
}
