package place

import hoist "fuchsiahoist.example/hoist"

// counts are the replicas in one data centre, whose racks may share names with
// those of others.
type counts struct {
	total int
	racks map[hoist.RackID]int
}

// CountReplicas sets the numbers of replicas of the candidates, from how many
// tasks of the job each worker runs.
func CountReplicas(candidates []hoist.Candidate, running map[hoist.WorkerID]int) {
	dataCentres := countWorkers(candidates, running)
	var last *counts
	var lastID hoist.DataCentreID
	for i := range candidates {
		c := &candidates[i]
		c.Replicas, c.DataCentreReplicas = 0, 0
		// Neighbours are often in one data centre.
		if i == 0 || c.DataCentre != lastID {
			last, lastID = dataCentres[c.DataCentre], c.DataCentre
		}
		if last != nil {
			c.DataCentreReplicas = last.total
			c.Replicas = last.racks[c.Rack]
		}
	}
}

// countWorkers sets the numbers of replicas on the workers themselves and sums
// them up by data centre and rack.
func countWorkers(candidates []hoist.Candidate, running map[hoist.WorkerID]int) map[hoist.DataCentreID]*counts {
	dataCentres := make(map[hoist.DataCentreID]*counts)
	for i := range candidates {
		c := &candidates[i]
		c.WorkerReplicas = 0
		if len(running) > 0 {
			c.WorkerReplicas = running[c.Worker]
		}
		if c.WorkerReplicas == 0 {
			continue
		}
		d, ok := dataCentres[c.DataCentre]
		if !ok {
			d = &counts{racks: make(map[hoist.RackID]int)}
			dataCentres[c.DataCentre] = d
		}
		d.total += c.WorkerReplicas
		d.racks[c.Rack] += c.WorkerReplicas
	}
	return dataCentres
}

// AddReplica counts one more replica, on the candidate of the given index. It
// saves counting all again after each placement of a job.
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
