package allocator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

func TestWorkload_States(t *testing.T) {
	type event = func(*workload)
	confirm := (*workload).confirm
	withdraw := (*workload).withdraw
	migrate := (*workload).migrate
	for _, test := range []struct {
		name   string
		events []event
		want   state
		onNode bool
		client bool
	}{
		{"new", nil, pending, false, true},
		{"confirmed", []event{confirm}, placed, true, true},
		{"confirmed twice", []event{confirm, confirm}, placed, true, true},
		{"migrating", []event{confirm, migrate}, migrating, true, true},
		{"migrate while pending has no effect", []event{migrate}, pending, false, true},
		{"withdrawn before confirmation", []event{withdraw}, cancelled, false, false},
		{"confirmed after withdrawal", []event{withdraw, confirm}, stopping, true, false},
		{"withdrawn while placed", []event{confirm, withdraw}, stopping, true, false},
		{"withdrawn while migrating", []event{confirm, migrate, withdraw}, stopping, true, false},
		{"migrate while stopping has no effect", []event{confirm, withdraw, migrate}, stopping, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			entry := &workload{}
			for _, apply := range test.events {
				apply(entry)
			}
			assert.Equal(t, test.want, entry.state)
			assert.Equal(t, test.onNode, entry.onNode())
			assert.Equal(t, test.client, entry.hasClient())
		})
	}
}

func TestWorkload_OnlyTheLastBindIsOpen(t *testing.T) {
	entry := &workload{}
	assert.False(t, entry.bindOpen(), "no bind was made")
	entry.binds = 2
	entry.step = placement.Step{Kind: placement.Bind}
	assert.False(t, entry.isOpen(0))
	assert.True(t, entry.isOpen(1))
	entry.step = placement.Step{Kind: placement.Wait}
	assert.False(t, entry.isOpen(1), "the workload waits for its next bind")
}

func TestWorkloads_BoundTo_SortedByID(t *testing.T) {
	table := workloads{}
	for _, id := range []placement.WorkloadID{3, 1 << 31, 1, 2} {
		entry := table.add(placement.Workload{ID: id})
		entry.binds = 1
		entry.node = 5
	}
	table[2].node = 6
	var ids []placement.WorkloadID
	for _, entry := range table.boundTo(5) {
		ids = append(ids, entry.id)
	}
	assert.Equal(t, []placement.WorkloadID{1, 3, 1 << 31}, ids)
}
