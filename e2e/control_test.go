package e2e

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/declare"
	"github.com/marjoramrock/marjoramrock/internal/measure"
	"github.com/marjoramrock/marjoramrock/internal/operator"
	"github.com/stretchr/testify/require"
)

// controlFor is how long an idle fleet is watched.
const controlFor = 8 * time.Second

// clockTicks is the unit of a process's times on Linux.
const clockTicks = 100

// BenchmarkControl is what an idle router spends on control, by fleet size:
// processor time, memory, bytes on the loopback interface (which counts each
// byte once, sent by one process and received by another) and exchanges with
// the platform.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			f := newFleet(b, shape{zones: []string{"zone-a", "zone-b", "zone-c"}, routers: n, log: "error"})
			time.Sleep(3 * time.Second)
			for b.Loop() {
				cpu, bytes, reads := f.cpu(), loopbackBytes(b), f.platform.Counts().Reads
				time.Sleep(controlFor)
				nodes, seconds := float64(n), controlFor.Seconds()
				b.ReportMetric(100*(f.cpu()-cpu)/nodes/seconds, "cpu-%/node")
				b.ReportMetric((loopbackBytes(b)-bytes)/nodes/seconds, "B/s/node")
				b.ReportMetric(float64(f.platform.Counts().Reads-reads)/nodes/seconds, "reads/s/node")
				b.ReportMetric(f.memory()/nodes, "MB/node")
				began := time.Now()
				c, err := operator.Commit(context.Background(), f.client, addTeam("fresh"))
				require.NoError(b, err)
				f.generation(c.Generation(), time.Minute)
				b.ReportMetric(float64(time.Since(began).Milliseconds()), "ms-in-force")
			}
		})
	}
}

// BenchmarkTeams is what a router spends by the number of teams: memory, the
// processor time of one change, and the time from its start to its first
// configuration in force.
func BenchmarkTeams(b *testing.B) {
	const changes = 8
	for _, n := range []int{1000, 10000, 37000} {
		b.Run(fmt.Sprintf("teams=%d", n), func(b *testing.B) {
			f := newFleet(b, shape{zones: []string{"zone-a"}, routers: 2, log: "error", tweak: func(d *declare.Deployment) {
				for i := range n {
					d.Team(fmt.Sprintf("team-%d", i)).Rate(1000).Burst(4000)
					d.Key(fmt.Sprintf("key-%d", i), fmt.Sprintf("team-%d", i), operator.Digest(fmt.Sprint(i)))
				}
			}})
			nodes := float64(len(f.vms))
			for b.Loop() {
				idle := f.cpu()
				time.Sleep(controlFor)
				idle = f.cpu() - idle
				busy := f.cpu()
				for i := range changes {
					c, err := operator.Commit(context.Background(), f.client, addTeam(fmt.Sprintf("fresh-%d", i)))
					require.NoError(b, err)
					f.generation(c.Generation(), time.Minute)
					time.Sleep(controlFor / changes / 2)
				}
				b.ReportMetric(1000*(f.cpu()-busy-idle)/nodes/changes, "cpu-ms/change")
				b.ReportMetric(f.memory()/nodes, "MB/node")
				f.kill(f.vms[0])
				began := time.Now()
				f.start(f.vms[0])
				require.Eventually(b, func() bool {
					s, err := f.status(f.vms[0])
					return err == nil && s.Ready
				}, time.Minute, time.Millisecond)
				b.ReportMetric(float64(time.Since(began).Milliseconds()), "ms-restart")
			}
		})
	}
}

// cpu returns the processor seconds that all routers have used.
func (f *fleet) cpu() float64 {
	total := 0.0
	for _, v := range f.vms {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", v.cmd.Process.Pid))
		require.NoError(f.t, err)
		fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+2:]))
		for _, field := range fields[11:13] {
			n, err := strconv.ParseFloat(field, 64)
			require.NoError(f.t, err)
			total += n / clockTicks
		}
	}
	return total
}

// memory returns the resident memory of all routers, in MB.
func (f *fleet) memory() float64 {
	total := 0.0
	for _, v := range f.vms {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", v.cmd.Process.Pid))
		require.NoError(f.t, err)
		pages, err := strconv.ParseFloat(strings.Fields(string(raw))[1], 64)
		require.NoError(f.t, err)
		total += pages * float64(os.Getpagesize()) / 1e6
	}
	return total
}

// loopbackBytes returns what the loopback interface has received.
func loopbackBytes(b *testing.B) float64 {
	n, err := measure.LoopbackBytesReceived()
	require.NoError(b, err)
	return n
}
