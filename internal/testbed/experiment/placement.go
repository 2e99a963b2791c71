package experiment

import "canvasroute/internal/testbed/fault"

// workerPlace is where a worker runs, and its kind. All are indexes.
type workerPlace struct {
	kind int
	zone int
	cell int // among the cells of all zones
}

// placeWorkers returns the place of each worker.
func (p *Plan) placeWorkers() (places []workerPlace) {
	for kind := range p.Fleet.Kinds {
		for range p.Fleet.Kinds[kind].Count {
			places = append(places, p.place(len(places), kind))
		}
	}
	return places
}

// place returns the place of a worker of a kind. Workers are distributed over the zones in turn, and a cell holds
// CellSize workers of one zone.
func (p *Plan) place(worker, kind int) workerPlace {
	zones := len(p.Fleet.Zones)
	zone := worker % zones
	indexInZone := worker / zones
	return workerPlace{kind: kind, zone: zone, cell: indexInZone/p.Fleet.CellSize*zones + zone}
}

// topology returns what faults can affect.
func (p *Plan) topology() fault.Topology {
	places := p.placeWorkers()
	topology := fault.Topology{Workers: len(places), Zones: p.Fleet.Zones, Dispatchers: p.Dispatchers.Count, Tenants: p.tenantNames()}
	for _, place := range places {
		topology.WorkerZones = append(topology.WorkerZones, place.zone)
	}
	return topology
}
