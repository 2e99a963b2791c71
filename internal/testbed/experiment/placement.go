package experiment

import "canvasroute/internal/testbed/fault"

// workerPlace holds the kind and the location of a worker, as indexes.
type workerPlace struct {
	kind int
	zone int
	cell int // among the cells of all zones
}

// placeWorkers returns the places of the workers that run from the start, by worker.
func (p *Plan) placeWorkers() (places []workerPlace) {
	for kind := range p.Fleet.Kinds {
		for range p.Fleet.Kinds[kind].Count {
			places = append(places, p.place(len(places), kind))
		}
	}
	return places
}

// place returns the place of a worker of the given kind. Workers are assigned to zones in round-robin order, and a cell
// contains CellSize workers of one zone.
func (p *Plan) place(worker, kind int) workerPlace {
	zones := len(p.Fleet.Zones)
	zone := worker % zones
	indexInZone := worker / zones
	return workerPlace{kind: kind, zone: zone, cell: indexInZone/p.Fleet.CellSize*zones + zone}
}

// topology returns the workers, zones, dispatchers and tenants that faults can target.
func (p *Plan) topology() fault.Topology {
	places := p.placeWorkers()
	topology := fault.Topology{Workers: len(places), Zones: p.Fleet.Zones, Dispatchers: p.Dispatchers.Count, Tenants: p.tenantNames()}
	for _, place := range places {
		topology.WorkerZones = append(topology.WorkerZones, place.zone)
	}
	return topology
}
