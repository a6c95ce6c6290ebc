package setting

import (
	"fmt"
	"net/netip"

	"go.uber.org/zap/zapcore"

	"github.com/dogwoodladder/dogwoodladder/document"
)

// Parse parses settings over the defaults. The error is of type Problems and contains
// the name of the file in every line.
func Parse(file string, data []byte) (*Settings, error) {
	s := Default()
	p := &parser{settings: &s, timingNodes: map[string]document.Node{}, listeners: map[netip.AddrPort]string{}}
	if err := document.Read(file, data, p.readRoot); err != nil {
		return nil, err
	}
	return &s, nil
}

type parser struct {
	settings    *Settings
	timingNodes map[string]document.Node
	listeners   map[netip.AddrPort]string
}

func (p *parser) readRoot(n document.Node) {
	s := p.settings
	n.Map(
		document.Required("instance", document.Into(&s.Instance, document.Name)),
		document.Required("zone", document.Into(&s.AvailabilityZone, document.Name)),
		document.Required("listen", p.readListen),
		document.Required("platform", p.readPlatform),
		document.Optional("logs", document.Into(&s.LogLevel, parseLevel)),
		document.Optional("limits", p.readLimits),
		document.Optional("timing", p.readTimings),
	)
	if n.Valid() {
		p.checkRelations()
	}
}

func (p *parser) readListen(n document.Node) {
	s := p.settings
	n.Map(
		document.Required("caller", p.listener("caller", &s.CallerAddress)),
		document.Required("peer", p.listener("peer", &s.PeerAddress)),
		document.Required("operator", p.listener("operator", &s.OperatorAddress)),
	)
}

func (p *parser) listener(name string, target *netip.AddrPort) func(document.Node) {
	return func(n document.Node) {
		document.Into(target, parseAddress)(n)
		if !target.IsValid() {
			return
		}
		if other, taken := p.listeners[*target]; taken {
			n.Report("%s is the address of %s already", target, other)
		}
		p.listeners[*target] = name
	}
}

func (p *parser) readPlatform(n document.Node) {
	s := p.settings
	n.Map(
		document.Required("log", document.Into(&s.LogAddress, parseAddress)),
		document.Required("list", document.Into(&s.ListAddress, parseAddress)),
	)
}

func (p *parser) readTimings(n document.Node) {
	var fields []document.Field
	for _, t := range timings {
		read := document.Into(t.field(&p.settings.Timing), document.Duration)
		fields = append(fields, document.Optional(t.key, func(n document.Node) {
			p.timingNodes[t.key] = n
			read(n)
		}))
	}
	n.Map(fields...)
}

// checkRelations reports each violated relation at the first of its fields that the file
// sets. As the defaults satisfy all relations, the file sets at least one of them.
func (p *parser) checkRelations() {
	for _, r := range relations {
		if r.holds(p.settings.Timing) {
			continue
		}
		for _, key := range r.keys {
			if n, ok := p.timingNodes[key]; ok {
				n.Report("%s", r.reason)
				break
			}
		}
	}
}

// parseAddress parses an IP address with a port.
func parseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("address %q, want an IP number and a port, such as 10.0.0.7:8080 or [fd00::7]:8080", text)
	}
	if address.Port() == 0 {
		return netip.AddrPort{}, fmt.Errorf("address %q, want a port from 1 to 65535", text)
	}
	return address, nil
}

func parseLevel(text string) (zapcore.Level, error) {
	level, err := zapcore.ParseLevel(text)
	if err != nil || level > zapcore.ErrorLevel {
		return 0, fmt.Errorf("level %q, want debug, info, warn or error", text)
	}
	return level, nil
}
