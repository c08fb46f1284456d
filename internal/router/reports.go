package router

import (
	"context"
	"sync"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/peer"
	"github.com/marjoramrock/marjoramrock/internal/team"
)

// maxPendingReports bounds the reports that are pending for one destination.
// Further ones are dropped.
const maxPendingReports = 4096

// reporter sends loan reports in batches. Reports that cannot be delivered are
// lost; the holder then counts the loan's tokens as used.
type reporter struct {
	r *Router
	// sending is held while a batch is sent.
	sending sync.Mutex

	mu      sync.Mutex // guards the field below
	pending map[destination][]peer.Report
}

// destination is a router to send a message to. forward lets it forward the
// message to the holder.
type destination struct {
	address string
	forward bool
}

func newReporter(r *Router) *reporter {
	return &reporter{r: r, pending: make(map[destination][]peer.Report)}
}

func (p *reporter) add(to destination, report team.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending[to]) >= maxPendingReports {
		return
	}
	p.pending[to] = append(p.pending[to], peer.Report{
		ID: string(report.ID), Team: report.Team, Kind: uint8(report.Kind), Used: report.Used,
	})
}

// flush sends the pending reports, after those of a flush in progress.
func (p *reporter) flush() {
	p.sending.Lock()
	defer p.sending.Unlock()
	p.mu.Lock()
	batch := p.pending
	p.pending = make(map[destination][]peer.Report)
	p.mu.Unlock()
	var wg sync.WaitGroup
	for to, list := range batch {
		wg.Go(func() { p.send(to, list) })
	}
	wg.Wait()
}

func (p *reporter) send(to destination, list []peer.Report) {
	ctx, cancel := context.WithTimeout(context.Background(), lendTimeout)
	defer cancel()
	_, err := peer.Call[*peer.Hello](ctx, p.r.node, to.address, &peer.Reports{List: list, Forward: to.forward})
	if err != nil {
		event.ReportLost.Log(p.r.log, err, log.Fields{"peer": to.address, "reports": len(list)})
	}
}
