package place

import hoist "fuchsiahoist.example/hoist"

// replicaCounts holds the numbers of replicas in one data centre. Racks are
// counted by data centre because racks of different data centres may share names.
type replicaCounts struct {
	total int
	racks map[hoist.RackID]int
}

// CountReplicas sets the replica counts of the candidates (worker, rack and data
// centre). running is the number of tasks of the job by worker.
func CountReplicas(candidates []hoist.Candidate, running map[hoist.WorkerID]int) {
	dataCentres := countByLocation(candidates, running)
	var last *replicaCounts
	var lastID hoist.DataCentreID
	for i := range candidates {
		c := &candidates[i]
		c.Replicas, c.DataCentreReplicas = 0, 0
		// Adjacent candidates are often in the same data centre, which saves
		// the map lookup.
		if i == 0 || c.DataCentre != lastID {
			last, lastID = dataCentres[c.DataCentre], c.DataCentre
		}
		if last != nil {
			c.DataCentreReplicas = last.total
			c.Replicas = last.racks[c.Rack]
		}
	}
}

// countByLocation sets the number of replicas on each worker and returns their
// sums by data centre and rack.
func countByLocation(candidates []hoist.Candidate, running map[hoist.WorkerID]int) map[hoist.DataCentreID]*replicaCounts {
	dataCentres := make(map[hoist.DataCentreID]*replicaCounts)
	for i := range candidates {
		c := &candidates[i]
		c.WorkerReplicas = 0
		if len(running) > 0 {
			c.WorkerReplicas = running[c.Worker]
		}
		if c.WorkerReplicas == 0 {
			continue
		}
		count, ok := dataCentres[c.DataCentre]
		if !ok {
			count = &replicaCounts{racks: make(map[hoist.RackID]int)}
			dataCentres[c.DataCentre] = count
		}
		count.total += c.WorkerReplicas
		count.racks[c.Rack] += c.WorkerReplicas
	}
	return dataCentres
}

// AddReplica adds one replica on the candidate with the given index to the
// counts. It is cheaper than calling CountReplicas after each placement.
func AddReplica(candidates []hoist.Candidate, index int) {
	chosen := &candidates[index]
	chosen.WorkerReplicas++
	for i := range candidates {
		c := &candidates[i]
		if c.DataCentre != chosen.DataCentre {
			continue
		}
		c.DataCentreReplicas++
		if c.Rack == chosen.Rack {
			c.Replicas++
		}
	}
}
