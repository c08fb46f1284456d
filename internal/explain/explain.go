// Package explain reconstructs the history of one request from the routers' logs:
// the events that name the request, and the events at about the same time that
// concern the backend servers and VMs that handled it.
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
	// contextWindow is how long before and after a request related events are shown.
	contextWindow = 2 * time.Second
	// maxLineBytes bounds the length of a log line.
	maxLineBytes = 1 << 20
)

// LogLine is one parsed line of a router's log.
type LogLine struct {
	timestamp time.Time
	fields    map[string]any
}

func (l LogLine) field(name string) string {
	if v, ok := l.fields[name]; ok && v != nil {
		return fmt.Sprint(v)
	}
	return ""
}

// ReadLog reads log lines. It ignores text before the first brace of a line, such
// as the prefix of a log collector, and skips lines that are not JSON or have no
// valid time.
func ReadLog(r io.Reader) ([]LogLine, error) {
	var out []LogLine
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			continue
		}
		l := LogLine{}
		if err := json.Unmarshal(s.Bytes()[i:], &l.fields); err != nil {
			continue
		}
		timestamp, err := time.Parse(time.RFC3339Nano, l.field("time"))
		if err != nil {
			continue
		}
		l.timestamp = timestamp
		out = append(out, l)
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read log lines: %w", err)
	}
	return out, nil
}

// The numbers of the events that are shown although they name no request:
// serverEvents if they concern a server that handled the request, vmEvents if they
// come from a VM that did.
var (
	serverEvents = eventNumbers(event.ServerListed, event.ServerDelisted, event.OrderSent, event.OrderFailed, event.EngineReloaded, event.CallBrokenOff)
	vmEvents     = eventNumbers(event.StoreUnreachable, event.StoreReachable, event.HistoryDropped, event.ConfigApplied, event.VersionDeclared,
		event.Started, event.Draining, event.Stopped, event.LinesDropped,
		event.QuarantineBegan, event.QuarantineRenewed, event.QuarantineEnded,
		event.RolloutOrdered, event.RolloutShareChanged, event.RolloutJudgedBad, event.RolloutDone, event.RolloutRolledBack, event.RolloutGrantExpired)
)

func eventNumbers(events ...event.Event) map[string]bool {
	out := make(map[string]bool)
	for _, e := range events {
		out[fmt.Sprint(e.Number())] = true
	}
	return out
}

// WriteTimeline writes the events of a request and the related events in order of
// time, with times relative to the start of the request. It reports whether any
// line names the request.
func WriteTimeline(w io.Writer, lines []LogLine, id string) (bool, error) {
	var requestLines []LogLine
	servers, vms := make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if l.field("request") == id {
			requestLines = append(requestLines, l)
			servers[l.field("server")] = true
			vms[l.field("vm")] = true
		}
	}
	if len(requestLines) == 0 {
		return false, nil
	}
	sort.SliceStable(requestLines, func(i, j int) bool { return requestLines[i].timestamp.Before(requestLines[j].timestamp) })
	start, end := requestInterval(requestLines)
	selected := slices.Clone(requestLines)
	for _, l := range lines {
		if l.field("request") != "" || l.timestamp.Before(start.Add(-contextWindow)) || l.timestamp.After(end.Add(contextWindow)) {
			continue
		}
		server := l.field("server") + l.field("engine")
		if (serverEvents[l.field("event")] && servers[server] && server != "" && vms[l.field("vm")]) ||
			(vmEvents[l.field("event")] && vms[l.field("vm")]) {
			selected = append(selected, l)
		}
	}
	sort.SliceStable(selected, func(i, j int) bool { return selected[i].timestamp.Before(selected[j].timestamp) })
	for _, l := range selected {
		marker := "  "
		if l.field("request") == id {
			marker = "> "
		}
		if _, err := fmt.Fprintf(w, "%s%+8.3fs %s %s%s\n", marker, l.timestamp.Sub(start).Seconds(), l.field("vm"), l.field("message"), l.formatFields()); err != nil {
			return true, fmt.Errorf("explain: %w", err)
		}
	}
	return true, nil
}

// requestInterval returns the start and the end of a request. The line that a VM
// logs at the end of a request has its duration in the field "ms", so the start may
// precede the first line.
func requestInterval(requestLines []LogLine) (start, end time.Time) {
	start, end = requestLines[0].timestamp, requestLines[len(requestLines)-1].timestamp
	for _, l := range requestLines {
		if ms, ok := l.fields["ms"].(float64); ok {
			if t := l.timestamp.Add(-time.Duration(ms) * time.Millisecond); t.Before(start) {
				start = t
			}
		}
	}
	return start, end
}

// omittedFields are the fields that formatFields leaves out: they are shown elsewhere
// in a line of the output or not at all.
var omittedFields = map[string]bool{"time": true, "level": true, "message": true, "vm": true, "event": true, "request": true}

func (l LogLine) formatFields() string {
	var names []string
	for name := range l.fields {
		if !omittedFields[name] && l.field(name) != "" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%s", name, l.field(name))
	}
	return b.String()
}
