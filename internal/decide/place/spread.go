package place

import hoist "fuchsiahoist.example/hoist"

// rackKey names a rack; racks of unlike data centres may share a name.
type rackKey struct {
	dataCentre hoist.DataCentreID
	rack       hoist.RackID
}

// CountReplicas sets the numbers of replicas of the candidates, from how many
// tasks of the job each worker runs.
func CountReplicas(candidates []hoist.Candidate, running map[hoist.WorkerID]int) {
	racks := make(map[rackKey]int)
	dataCentres := make(map[hoist.DataCentreID]int)
	for i := range candidates {
		c := &candidates[i]
		c.WorkerReplicas, c.Replicas, c.DataCentreReplicas = 0, 0, 0
		if n := running[c.Worker]; n > 0 {
			c.WorkerReplicas = n
			racks[rackKey{c.DataCentre, c.Rack}] += n
			dataCentres[c.DataCentre] += n
		}
	}
	if len(dataCentres) == 0 {
		return
	}
	for i := range candidates {
		c := &candidates[i]
		if n := dataCentres[c.DataCentre]; n > 0 {
			c.DataCentreReplicas = n
			c.Replicas = racks[rackKey{c.DataCentre, c.Rack}]
		}
	}
}
