package gateway

import (
	"net"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/inbound"
)

// ClientLimits bound what clients and other VMs may use. A limit that is zero has its
// default.
type ClientLimits struct {
	// Conns bounds the connections of clients, PeerConns those of other VMs, and
	// ProbeConns those to each of the addresses for readiness and metrics.
	Conns      int `json:"conns,omitempty"`
	PeerConns  int `json:"peer_conns,omitempty"`
	ProbeConns int `json:"probe_conns,omitempty"`
	// HeadFields bounds the lines of a request's head, HeadShare the share of the memory
	// that all heads may take, and PublicShare the share of the buffers for bodies that
	// requests without a key may take.
	HeadFields  int     `json:"head_fields,omitempty"`
	HeadShare   float64 `json:"head_share,omitempty"`
	PublicShare float64 `json:"public_share,omitempty"`
	// HeadTimeout and BodyTimeout bound the time to read a head and a body, WriteTimeout
	// a write to a client that reads nothing.
	HeadTimeout  config.Duration `json:"head_timeout,omitempty"`
	BodyTimeout  config.Duration `json:"body_timeout,omitempty"`
	WriteTimeout config.Duration `json:"write_timeout,omitempty"`
	// VMs bounds the number of other VMs that are known.
	VMs int `json:"vms,omitempty"`
}

// Defaults of ClientLimits.
const (
	// Connections of clients take at most connMemoryShare of the memory, and half of the
	// descriptors: a request needs a second one, for its server.
	connMemoryShare     = 0.25
	connDescriptorShare = 0.5
	// Each VM of a zone has about two connections to the one that reads the store.
	defaultPeerConns    = 512
	peerDescriptorShare = 0.2
	defaultProbeConns   = 64
	// defaultHeadFields is far above what clients and proxies send (about 100).
	defaultHeadFields  = 1000
	defaultHeadShare   = 0.08
	defaultPublicShare = 0.5
	// defaultHeadTimeout exceeds the time for a head that configurations state (3 s), and
	// the idle time (15 s): it also bounds how long a new connection may be unused.
	defaultHeadTimeout  = 20 * time.Second
	defaultBodyTimeout  = 30 * time.Second
	defaultWriteTimeout = 10 * time.Second
	defaultVMs          = 1024
)

// WithDefaults returns the limits for a process of the given memory, 0 if that is not
// limited, and number of descriptors for connections.
func (l ClientLimits) WithDefaults(memoryMB, descriptors int) ClientLimits {
	conns := int(connDescriptorShare * float64(descriptors))
	if memoryMB > 0 {
		conns = min(conns, int(connMemoryShare*float64(memoryMB)*(1<<20)/inbound.ConnBytes))
	}
	setDefault(&l.Conns, max(1, conns))
	setDefault(&l.PeerConns, max(1, min(defaultPeerConns, int(peerDescriptorShare*float64(descriptors)))))
	setDefault(&l.ProbeConns, defaultProbeConns)
	setDefault(&l.HeadFields, defaultHeadFields)
	setDefault(&l.HeadShare, defaultHeadShare)
	setDefault(&l.PublicShare, defaultPublicShare)
	setDefault(&l.HeadTimeout, config.Duration(defaultHeadTimeout))
	setDefault(&l.BodyTimeout, config.Duration(defaultBodyTimeout))
	setDefault(&l.WriteTimeout, config.Duration(defaultWriteTimeout))
	setDefault(&l.VMs, defaultVMs)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (l ClientLimits) check(report func(field, text string)) {
	for _, f := range []struct {
		name  string
		value int
	}{
		{"limits.conns", l.Conns}, {"limits.peer_conns", l.PeerConns}, {"limits.probe_conns", l.ProbeConns},
		{"limits.head_fields", l.HeadFields}, {"limits.vms", l.VMs},
	} {
		if f.value < 0 {
			report(f.name, "below zero; write a number, or 0 for the default")
		}
	}
	for _, f := range []struct {
		name  string
		value float64
	}{{"limits.head_share", l.HeadShare}, {"limits.public_share", l.PublicShare}} {
		if f.value < 0 || f.value > 1 {
			report(f.name, "not a share from 0 to 1; write a number such as 0.1, or 0 for the default")
		}
	}
	for _, f := range []struct {
		name  string
		value config.Duration
	}{{"limits.head_timeout", l.HeadTimeout}, {"limits.body_timeout", l.BodyTimeout}, {"limits.write_timeout", l.WriteTimeout}} {
		if f.value < 0 {
			report(f.name, "below zero; write a duration such as \"20s\", or \"0s\" for the default")
		}
	}
}

// listenerLimits returns the limits of a listener for the given number of connections. Its name
// is used in reports.
func (g *Gateway) listenerLimits(name string, conns int) inbound.Limits {
	l := g.settings.Limits
	return inbound.Limits{
		Conns: conns, HeadFields: l.HeadFields, HeadMemory: g.headMemory, WriteTimeout: time.Duration(l.WriteTimeout),
		OnLimit: func(r inbound.Reason, from net.Addr) {
			g.recordLimit(event.ConnectionClosed, string(r), log.Fields{"listener": name, "from": from.String()})
		},
	}
}

// ClientListenerLimits returns the limits of the listener for clients.
func (g *Gateway) ClientListenerLimits() inbound.Limits {
	return g.listenerLimits("entry", g.settings.Limits.Conns)
}

// ProbeListenerLimits returns the limits of a listener for checks of readiness or for
// metrics.
func (g *Gateway) ProbeListenerLimits(name string) inbound.Limits {
	return g.listenerLimits(name, g.settings.Limits.ProbeConns)
}

// recordLimit counts what a limit has prevented, and logs it now and then.
func (g *Gateway) recordLimit(e event.Event, reason string, fields log.Fields) {
	g.metrics.incrementCounter("limit_" + reason)
	if n := g.limitLog.Count(reason, time.Now()); n > 0 {
		fields["reason"], fields["times"] = reason, n
		e.Log(g.log, nil, fields)
	}
}

// relayShare is the share of the buffers for responses to other VMs.
const relayShare = 0.4

// recordRejectedMessage counts a datagram that is no valid message.
func (g *Gateway) recordRejectedMessage(from string, err error) {
	g.metrics.incrementCounter("limit_invalid_messages")
	if n := g.limitLog.Count("invalid messages", time.Now()); n > 0 {
		event.PeerMessageRejected.Log(g.log, err, log.Fields{"from": from, "times": n})
	}
}
