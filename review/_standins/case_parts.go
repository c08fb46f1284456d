package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// Each of two clients has partConns connections to one machine, on each of which it sends
	// a request each partPeriod for partTime.
	partConns  = 6
	partPeriod = 45 * time.Millisecond
	partTime   = 90 * time.Second
	// partsPerPrompt is the number of parts of a prompt, of one token each. Its head stays
	// below max_header_bytes.
	partsPerPrompt = 1300
	// memoryCheckPeriod is the interval at which the platform looks at the memory of a
	// process, and restartDelay the time until it starts one again.
	memoryCheckPeriod = 100 * time.Millisecond
	restartDelay      = time.Second
	// A day counts for nothing if maxEnds processes end by themselves on minMachines.
	maxEnds, minMachines = 3, 2
)

// memoryMB returns the memory of a VM's process in megabytes, without the pages of files.
func (v *vm) memoryMB() (int, error) {
	v.mu.Lock()
	pid := v.cmd.Process.Pid
	v.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("memory of %s: %w", v.name, err)
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				return 0, fmt.Errorf("memory of %s: %w", v.name, err)
			}
			return kb / 1024, nil
		}
	}
	return 0, fmt.Errorf("memory of %s: no RssAnon", v.name)
}

// partsPrompt returns a request whose prompt has many parts of one token that no other
// prompt has, or one with as many tokens in three parts.
func partsPrompt(key string, many bool) request {
	id := newID()
	r := request{
		id: id, method: http.MethodPost, path: promptPath, key: key, deadline: promptLimit, body: "prompt of " + id,
		header: map[string]string{"Model": modelName, "Token-Count": strconv.Itoa(partsPerPrompt) + ",2"},
	}
	if !many {
		r.header["Prefix-Hash"] = fmt.Sprintf("e4402b7d:800,91bd3f06:400,%s:100", id[:8])
		return r
	}
	var b strings.Builder
	for i := range partsPerPrompt {
		if i > 0 {
			b.WriteByte(',')
		}
		// The first bytes of the ID of the request tell prompts apart.
		fmt.Fprintf(&b, "%s%03x:1", id[:6], i)
	}
	r.header["Prefix-Hash"] = b.String()
	return r
}

// memoryWatch is the platform's watch over the memory of one VM's process.
type memoryWatch struct {
	deployment *deployment
	vm         *vm
	// ends counts how often the process was ended, largest is its largest memory.
	ends, largest int
}

// run ends the process whenever it exceeds its memory, and starts it again, until a time.
func (w *memoryWatch) run(end time.Time) error {
	shown := time.Time{}
	for time.Now().Before(end) && w.ends < maxEnds {
		time.Sleep(memoryCheckPeriod)
		mb, err := w.vm.memoryMB()
		if w.vm.ended() {
			return fmt.Errorf("the process of %s ended", w.vm.name)
		}
		if err != nil {
			return err
		}
		w.largest = max(w.largest, mb)
		if time.Since(shown) > time.Second {
			shown = time.Now()
			w.deployment.record.add("memory of %s: %d MB", w.vm.name, mb)
		}
		if mb <= memoryMB {
			continue
		}
		w.ends++
		w.deployment.record.add("the process of %s has %d MB, its limit is %d MB: it is killed (%d)", w.vm.name, mb, memoryMB, w.ends)
		w.deployment.signal(w.vm, syscall.SIGKILL)
		<-w.vm.exited
		time.Sleep(restartDelay)
		if err := w.deployment.restart(w.vm); err != nil {
			return err
		}
	}
	return nil
}

// runParts shows the memory of processes while the prompts of two clients have many small
// parts.
func runParts(rec *record, trouble bool) (broken bool, err error) {
	d, err := startPromptDeployment(rec)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.fleet.setStream(2, time.Millisecond)
	begin := time.Now()
	stop := make(chan struct{})
	var mu sync.Mutex
	statuses := make(map[int]int)
	var clients, watches sync.WaitGroup
	watched := []*memoryWatch{{deployment: d.deployment, vm: d.vms[0]}, {deployment: d.deployment, vm: d.vms[1]}}
	errs := make([]error, len(watched))
	for n, w := range watched {
		key := []string{firstKey, secondKey}[n]
		for i := range partConns {
			clients.Go(func() {
				c := &client{record: rec, vm: w.vm}
				defer c.close()
				for next := begin.Add(time.Duration(i) * partPeriod / partConns); ; next = next.Add(partPeriod) {
					if time.Since(next) > time.Second {
						// The machine was away.
						next = time.Now()
					}
					select {
					case <-stop:
						return
					case <-time.After(time.Until(next)):
					}
					a := c.send(partsPrompt(key, trouble))
					mu.Lock()
					statuses[a.status]++
					mu.Unlock()
				}
			})
		}
		watches.Go(func() { errs[n] = w.run(begin.Add(partTime)) })
	}
	watches.Wait()
	close(stop)
	clients.Wait()
	machines := 0
	for n, w := range watched {
		rec.add("%s: largest memory %d MB, ended %d times", w.vm.name, w.largest, w.ends)
		if errs[n] != nil {
			return false, errs[n]
		}
		if w.ends >= maxEnds {
			machines++
		}
	}
	rec.add("answers by status: %v", statuses)
	if statuses[http.StatusOK] == 0 {
		return false, fmt.Errorf("no request was served: %v", statuses)
	}
	return machines >= minMachines, nil
}
