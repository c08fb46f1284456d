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

// measurementPeriod is how long an idle fleet is measured.
const measurementPeriod = 8 * time.Second

// clockTicksPerSecond is the unit of the CPU times in /proc/PID/stat (USER_HZ on Linux).
const clockTicksPerSecond = 100

// BenchmarkControl measures the control-plane overhead of an idle router by fleet
// size: CPU time, memory, bytes on the loopback interface (which counts each byte
// once, although one process sends and another one receives it) and reads from the
// platform.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			f := newFleet(b, fleetOptions{zones: []string{"zone-a", "zone-b", "zone-c"}, routers: n, log: "error"})
			time.Sleep(3 * time.Second)
			for b.Loop() {
				cpu, bytes, reads := f.cpuSeconds(), loopbackBytes(b), f.platform.Counts().Reads
				time.Sleep(measurementPeriod)
				nodes, seconds := float64(n), measurementPeriod.Seconds()
				b.ReportMetric(100*(f.cpuSeconds()-cpu)/nodes/seconds, "cpu-%/node")
				b.ReportMetric((loopbackBytes(b)-bytes)/nodes/seconds, "B/s/node")
				b.ReportMetric(float64(f.platform.Counts().Reads-reads)/nodes/seconds, "reads/s/node")
				b.ReportMetric(f.residentMB()/nodes, "MB/node")
				began := time.Now()
				c, err := operator.Commit(context.Background(), f.platformClient, addTeam("fresh"))
				require.NoError(b, err)
				f.awaitGeneration(c.Generation(), time.Minute)
				b.ReportMetric(float64(time.Since(began).Milliseconds()), "ms-in-force")
			}
		})
	}
}

// BenchmarkTeams measures the cost of a router by the number of teams: memory, the
// CPU time of one configuration change, and the time from its start until it is
// ready with its first configuration in force.
func BenchmarkTeams(b *testing.B) {
	const changes = 8
	for _, n := range []int{1000, 10000, 37000} {
		b.Run(fmt.Sprintf("teams=%d", n), func(b *testing.B) {
			f := newFleet(b, fleetOptions{zones: []string{"zone-a"}, routers: 2, log: "error", editDeployment: func(d *declare.Deployment) {
				for i := range n {
					d.Team(fmt.Sprintf("team-%d", i)).Rate(1000).Burst(4000)
					d.Key(fmt.Sprintf("key-%d", i), fmt.Sprintf("team-%d", i), operator.Digest(fmt.Sprint(i)))
				}
			}})
			nodes := float64(len(f.vms))
			for b.Loop() {
				idle := f.cpuSeconds()
				time.Sleep(measurementPeriod)
				idle = f.cpuSeconds() - idle
				busy := f.cpuSeconds()
				for i := range changes {
					c, err := operator.Commit(context.Background(), f.platformClient, addTeam(fmt.Sprintf("fresh-%d", i)))
					require.NoError(b, err)
					f.awaitGeneration(c.Generation(), time.Minute)
					time.Sleep(measurementPeriod / changes / 2)
				}
				b.ReportMetric(1000*(f.cpuSeconds()-busy-idle)/nodes/changes, "cpu-ms/change")
				b.ReportMetric(f.residentMB()/nodes, "MB/node")
				f.kill(f.vms[0])
				began := time.Now()
				f.startRouter(f.vms[0])
				require.Eventually(b, func() bool {
					s, err := f.status(f.vms[0])
					return err == nil && s.Ready
				}, time.Minute, time.Millisecond)
				b.ReportMetric(float64(time.Since(began).Milliseconds()), "ms-restart")
			}
		})
	}
}

// cpuSeconds returns the CPU time that all routers have used.
func (f *fleet) cpuSeconds() float64 {
	total := 0.0
	for _, v := range f.vms {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", v.cmd.Process.Pid))
		require.NoError(f.t, err)
		fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+2:]))
		for _, field := range fields[11:13] {
			n, err := strconv.ParseFloat(field, 64)
			require.NoError(f.t, err)
			total += n / clockTicksPerSecond
		}
	}
	return total
}

// residentMB returns the resident memory of all routers, in MB.
func (f *fleet) residentMB() float64 {
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

// loopbackBytes returns the number of bytes that the loopback interface has received.
func loopbackBytes(b *testing.B) float64 {
	n, err := measure.LoopbackBytesReceived()
	require.NoError(b, err)
	return n
}
