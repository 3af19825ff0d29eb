package allocator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

func TestWorkload_States(t *testing.T) {
	confirm, withdraw, migrate := (*workload).confirm, (*workload).withdraw, (*workload).migrate
	for _, c := range []struct {
		name           string
		events         []func(*workload)
		want           state
		onNode, wanted bool
	}{
		{"a new one is pending", nil, pending, false, true},
		{"confirmed", []func(*workload){confirm}, placed, true, true},
		{"confirmed twice", []func(*workload){confirm, confirm}, placed, true, true},
		{"migrating", []func(*workload){confirm, migrate}, migrating, true, true},
		{"a pending one does not migrate", []func(*workload){migrate}, pending, false, true},
		{"withdrawn before it is confirmed", []func(*workload){withdraw}, cancelled, false, false},
		{"confirmed after it was withdrawn", []func(*workload){withdraw, confirm}, stopping, true, false},
		{"withdrawn once placed", []func(*workload){confirm, withdraw}, stopping, true, false},
		{"withdrawn while it migrates", []func(*workload){confirm, migrate, withdraw}, stopping, true, false},
		{"one that stops does not migrate", []func(*workload){confirm, withdraw, migrate}, stopping, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := &workload{}
			for _, event := range c.events {
				event(w)
			}
			assert.Equal(t, c.want, w.state)
			assert.Equal(t, c.onNode, w.onNode())
			assert.Equal(t, c.wanted, w.wanted())
		})
	}
}

func TestWorkload_OnlyTheLastBindIsOpen(t *testing.T) {
	w := &workload{}
	assert.False(t, w.bindOpen(), "none was made")
	w.binds, w.step = 2, placement.Step{Kind: placement.Bind}
	assert.False(t, w.isOpen(0))
	assert.True(t, w.isOpen(1))
	w.step = placement.Step{Kind: placement.Wait}
	assert.False(t, w.isOpen(1), "it waits for its next one")
}

func TestWorkloads_OnANodeAreInTheOrderOfTheirIDs(t *testing.T) {
	table := workloads{}
	for _, id := range []placement.WorkloadID{3, 1 << 31, 1, 2} {
		w := table.add(placement.Workload{ID: id})
		w.binds, w.node = 1, 5
	}
	table[2].node = 6
	var ids []placement.WorkloadID
	for _, w := range table.on(5) {
		ids = append(ids, w.id)
	}
	assert.Equal(t, []placement.WorkloadID{1, 3, 1 << 31}, ids)
}
