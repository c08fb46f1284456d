package backend

import "time"

const (
	// startTokensPerMilli is assumed of a service until its engines are measured. It and
	// the bounds of what is measured are in prompt tokens per millisecond.
	startTokensPerMilli = 60.0
	minTokensPerMilli   = 4.0
	maxTokensPerMilli   = 1000.0
	// minMeasuredTokens is the length of a prompt below which the time to the first
	// event says little of the rate.
	minMeasuredTokens = 1000
	// prefillQuantile is the quantile of the measured rates that is estimated. Waits
	// and parts that are not cached as expected make most measurements too slow.
	prefillQuantile = 0.8
	// minRateStep and maxRateStep bound the relative change by one measurement. The
	// change starts at the larger one.
	minRateStep = 0.05
	maxRateStep = 0.4
)

// prefillRate estimates how many prompt tokens the engines of a service process in a
// millisecond. The zero value means that nothing has been measured.
type prefillRate struct {
	tokensPerMilli float64
	measurements   int
}

// tokens returns the estimate.
func (p *prefillRate) tokens() float64 {
	if p == nil || p.measurements == 0 {
		return startTokensPerMilli
	}
	return p.tokensPerMilli
}

// measure moves the estimate toward prefillQuantile of the measurements.
func (p *prefillRate) measure(tokensPerMilli float64) {
	estimate := p.tokens()
	p.measurements++
	step := max(minRateStep, maxRateStep/float64(p.measurements))
	if tokensPerMilli > estimate {
		estimate *= 1 + step*prefillQuantile
	} else {
		estimate *= 1 - step*(1-prefillQuantile)
	}
	p.tokensPerMilli = min(max(estimate, minTokensPerMilli), maxTokensPerMilli)
}

// RecordPrefill records how long an engine of a service took to the first event of a
// call with the given number of tokens to process. Short prompts are ignored.
func (t *Table) RecordPrefill(service string, tokens int, took time.Duration) {
	if tokens < minMeasuredTokens || took <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.prefill[service]
	if p == nil {
		p = &prefillRate{}
		t.prefill[service] = p
	}
	p.measure(float64(tokens) / (float64(took) / float64(time.Millisecond)))
}
