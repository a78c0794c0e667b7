package tasks

import (
	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/config"
)

// Cell returns what the workers of the cell hold, as far as this host knows,
// for the check of configurations.
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
	for _, h := range m.heard {
		for _, c := range h.workers {
			add(c.Capacity)
		}
	}
	return cell
}
