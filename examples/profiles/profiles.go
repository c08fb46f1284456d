package profiles

import (
	"fmt"
	"time"

	"github.com/marjoramrock/marjoramrock/declare"
)

// AddressFunc returns the address of the backend server with the given name.
type AddressFunc func(name string) string

// SequentialAddresses returns a function whose calls return 127.0.<net>.1:9000,
// 127.0.<net>.2:9000 and so on, regardless of the name.
func SequentialAddresses(net int) AddressFunc {
	last := 0
	return func(string) string {
		last++
		return fmt.Sprintf("127.0.%d.%d:9000", net, last)
	}
}

// addEngines declares count engines of a model, assigned to the zones in turn.
// Every second engine checks fencing tokens.
func addEngines(d *declare.Deployment, zones []string, model, namePrefix string, count, slots int, address AddressFunc) {
	for i := range count {
		name := fmt.Sprintf("%s-%d", namePrefix, i+1)
		e := d.Engine(name, zones[i%len(zones)], model, address(name)).Slots(slots)
		if i%2 == 0 {
			e.Fenced()
		}
	}
}

// addZones declares zones with equal weights.
func addZones(d *declare.Deployment, names []string) {
	for _, name := range names {
		d.Zone(name, 1/float64(len(names)))
	}
}

// Wolkenatlas declares the cloud atlas: four zones, 12 engines for captions and
// classification, 4 portal engines, five teams.
func Wolkenatlas(address AddressFunc) *declare.Deployment {
	zones := []string{"nl-west-1", "nl-west-2", "nl-west-3", "nl-west-4"}
	d := declare.New().Comment("Wolkenatlas: captions, overnight labels, submissions.")
	addZones(d, zones)
	d.Model("caption", "v1").Bytes(3).Limit(256)
	d.Model("portal", "v1").Bytes(3).Limit(256)
	addEngines(d, zones, "caption", "caption", 12, 8, address)
	addEngines(d, zones, "portal", "portal", 4, 8, address)
	registry := d.Service("registry")
	for i, zone := range zones[:2] {
		name := fmt.Sprintf("registry-%d", i+1)
		registry.Server(name, zone, address(name))
	}
	d.Team("labelling").Rate(60_000).Burst(240_000)
	d.Team("captions").Rate(40_000).Burst(160_000)
	d.Team("review").Rate(20_000).Burst(80_000)
	d.Team("volunteers").Rate(8_000).Burst(48_000)
	d.Team("schools").Rate(4_000).Burst(32_000)
	d.ModelRoute("captions", "caption").Deadline(60 * time.Second).Wait(5 * time.Second)
	d.ModelRoute("portal", "portal").Deadline(30 * time.Second).Wait(3 * time.Second)
	d.ServiceRoute("submissions", "/submissions", "registry").Once().Deadline(10 * time.Second)
	return d
}

// Gumless declares the dispatch service: three zones, 9 answer engines, 3
// engines for booking and scheduling, five teams.
func Gumless(address AddressFunc) *declare.Deployment {
	zones := []string{"new-england-1", "new-england-2", "new-england-3"}
	d := declare.New().Comment("Gumless: job ratings, method questions, bookings.")
	d.LatestFirst()
	addZones(d, zones)
	d.Model("answer", "v1").Bytes(3).Limit(256)
	d.Model("booking", "v1").Bytes(3).Limit(256)
	addEngines(d, zones, "answer", "answer", 9, 8, address)
	addEngines(d, zones, "booking", "booking", 3, 8, address)
	desk := d.Service("desk")
	for i, zone := range zones[:2] {
		name := fmt.Sprintf("desk-%d", i+1)
		desk.Server(name, zone, address(name))
	}
	d.Team("managers").Rate(50_000).Burst(200_000)
	d.Team("quotes").Rate(30_000).Burst(120_000)
	d.Team("crews-north").Rate(8_000).Burst(48_000)
	d.Team("crews-south").Rate(8_000).Burst(48_000)
	d.Team("office").Rate(4_000).Burst(32_000)
	d.ModelRoute("answers", "answer").Deadline(30 * time.Second).Wait(3 * time.Second)
	d.ModelRoute("scheduling", "booking").Deadline(30 * time.Second).Wait(3 * time.Second)
	d.ServiceRoute("bookings", "/bookings", "desk").Once().Deadline(10 * time.Second)
	d.ServiceRoute("schedule", "/schedule/", "desk").Deadline(5 * time.Second)
	return d
}
