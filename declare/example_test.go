package declare_test

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/marjoramrock/marjoramrock/declare"
	"github.com/marjoramrock/marjoramrock/examples/profiles"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/stretchr/testify/require"
)

func Example() {
	d := declare.New().Comment("One zone, one engine.")
	d.Zone("zone-a", 1)
	d.Model("caption", "v3").Bytes(3).Limit(512)
	d.Engine("engine-1", "zone-a", "caption", "10.0.0.5:9000").Slots(8).Fenced()
	d.Team("atlas").Rate(20_000).Burst(80_000)
	d.ModelRoute("captions", "caption")
	if err := d.Print(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// // One zone, one engine.
	// {
	// 	"zones":  [{"name": "zone-a", "weight": 1}],
	// 	"models": [{"name": "caption", "version": "v3", "bytes": 3, "limit": 512}],
	// 	"engines": [{
	// 		"name":    "engine-1",
	// 		"zone":    "zone-a",
	// 		"address": "10.0.0.5:9000",
	// 		"model":   "caption",
	// 		"slots":   8,
	// 		"fenced":  true
	// 	}],
	// 	"teams":  [{"name": "atlas", "rate": 20000, "burst": 80000}],
	// 	"routes": [{"name": "captions", "model": "caption"}]
	// }
}

func Example_problems() {
	d := declare.New()
	d.Zone("zone-a", 0.5)
	d.Team("atlas").Burst(10)
	d.ModelRoute("captions", "caption")
	fmt.Println(d.Check())
	// Output:
	// declare: document:1: zones: weights sum to 0.5; make them sum to 1
	// document:1: teams[0].rate: not above zero; give a number above zero
	// document:1: routes[0].model: no model "caption"; declare it or correct the name
}

func TestPrintedProfilesAreValid(t *testing.T) {
	tests := []struct {
		give        string
		build       func(profiles.AddressFunc) *declare.Deployment
		wantZones   int
		wantEngines int
		wantTeams   int
	}{
		{"wolkenatlas", profiles.Wolkenatlas, 4, 16, 5},
		{"gumless", profiles.Gumless, 3, 12, 5},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			var out bytes.Buffer
			require.NoError(t, tt.build(profiles.SequentialAddresses(1)).Print(&out))
			doc, problems := config.Read("printed", out.Bytes())
			require.Empty(t, problems)
			require.Len(t, doc.Zones, tt.wantZones)
			require.Len(t, doc.Engines, tt.wantEngines)
			require.Len(t, doc.Teams, tt.wantTeams)
		})
	}
}
