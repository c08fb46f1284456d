// Package declare builds a deployment's configuration in Go.
//
// An operator's program declares zones, models, engines, services, teams and
// routes, and prints the resulting configuration file for `marjoramrock apply`:
//
//	d := declare.New()
//	d.Zone("nl-west-1", 1)
//	d.Model("caption", "v3").MinBytesPerToken(3).MaxAnswerTokens(512)
//	d.Team("atlas").Rate(20_000).Burst(80_000)
//	d.ModelRoute("captions", "caption")
//	if err := d.Print(os.Stdout); err != nil { ... }
package declare
