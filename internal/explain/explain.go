// Package explain finds one request's way through the fleet in the routers'
// logs: what was decided about it, and what happened around it to the backend
// servers and VMs that it met.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/event"
)

const (
	// around is how long before and after a request other events are shown.
	around = 2 * time.Second
	// longestLine bounds a log line in bytes.
	longestLine = 1 << 20
)

// LogLine is one line of a router's log.
type LogLine struct {
	at     time.Time
	fields map[string]any
}

func (l LogLine) text(name string) string {
	if v, ok := l.fields[name]; ok && v != nil {
		return fmt.Sprint(v)
	}
	return ""
}

// ReadLog reads log lines. Text before a line's first brace, such as what a log
// collector puts there, is left out, and so are lines that are no JSON.
func ReadLog(r io.Reader) ([]LogLine, error) {
	var out []LogLine
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), longestLine)
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			continue
		}
		l := LogLine{}
		if err := json.Unmarshal(s.Bytes()[i:], &l.fields); err != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, l.text("time"))
		if err != nil {
			continue
		}
		l.at = at
		out = append(out, l)
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("log lines: %w", err)
	}
	return out, nil
}

// context are the events that are shown though they name no request: those
// about a server that the request met, and those of its VM.
var (
	aboutServers = numbers(event.ServerListed, event.ServerGone, event.OrderSent, event.OrderFailed, event.EngineReloaded)
	aboutVM      = numbers(event.StoreUnreachable, event.StoreReachable, event.HistoryDropped, event.ConfigApplied, event.VersionDeclared,
		event.Started, event.Draining, event.Stopped, event.LinesDropped)
)

func numbers(events ...event.Event) map[string]bool {
	out := make(map[string]bool)
	for _, e := range events {
		out[fmt.Sprint(e.Number())] = true
	}
	return out
}

// WriteTimeline writes what the lines tell of a request; it reports false where they
// tell nothing.
func WriteTimeline(w io.Writer, lines []LogLine, id string) (bool, error) {
	var own []LogLine
	servers, vms := make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if l.text("request") == id {
			own = append(own, l)
			servers[l.text("server")] = true
			vms[l.text("vm")] = true
		}
	}
	if len(own) == 0 {
		return false, nil
	}
	sort.SliceStable(own, func(i, j int) bool { return own[i].at.Before(own[j].at) })
	began, ended := span(own)
	shown := slices.Clone(own)
	for _, l := range lines {
		if l.text("request") != "" || l.at.Before(began.Add(-around)) || l.at.After(ended.Add(around)) {
			continue
		}
		server := l.text("server") + l.text("engine")
		if (aboutServers[l.text("event")] && servers[server] && server != "" && vms[l.text("vm")]) ||
			(aboutVM[l.text("event")] && vms[l.text("vm")]) {
			shown = append(shown, l)
		}
	}
	sort.SliceStable(shown, func(i, j int) bool { return shown[i].at.Before(shown[j].at) })
	for _, l := range shown {
		mark := "  "
		if l.text("request") == id {
			mark = "> "
		}
		if _, err := fmt.Fprintf(w, "%s%+8.3fs %s %s%s\n", mark, l.at.Sub(began).Seconds(), l.text("vm"), l.text("message"), l.details()); err != nil {
			return true, fmt.Errorf("explain: %w", err)
		}
	}
	return true, nil
}

// span returns when a request began and ended: its last line tells how long it took.
func span(own []LogLine) (began, ended time.Time) {
	began, ended = own[0].at, own[len(own)-1].at
	for _, l := range own {
		if ms, ok := l.fields["ms"].(float64); ok {
			if at := l.at.Add(-time.Duration(ms) * time.Millisecond); at.Before(began) {
				began = at
			}
		}
	}
	return began, ended
}

// plain are the fields that stand elsewhere in the output.
var plain = map[string]bool{"time": true, "level": true, "message": true, "vm": true, "event": true, "request": true}

func (l LogLine) details() string {
	var names []string
	for name := range l.fields {
		if !plain[name] && l.text(name) != "" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%s", name, l.text(name))
	}
	return b.String()
}
