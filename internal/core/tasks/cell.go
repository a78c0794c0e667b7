package tasks

import (
	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/config"
)

// Cell returns the capacities of the workers that this host knows of. They are
// used for checking configurations.
func (m *Manager) Cell() config.Cell {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	var cell config.Cell
	add := func(capacity hoist.Resources) {
		cell.Total = cell.Total.Add(capacity)
		cell.Workers = append(cell.Workers, capacity)
	}
	for _, c := range m.localCandidates() {
		add(c.Capacity)
	}
	for _, h := range m.heartbeats {
		for _, c := range h.workers {
			add(c.Capacity)
		}
	}
	return cell
}
