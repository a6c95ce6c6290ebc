// Package setting reads the settings file of a daemon process: its identity, its
// listeners, the addresses of the platform, its limits, and its timing.
//
// Usage:
//
//	s, err := setting.Parse("edge-1.yaml", data)
//	if err != nil {
//		return err // one line for each problem: file:line:column: reason
//	}
//	listener, err := net.Listen("tcp", s.CallerAddress.String())
//
// A file needs to contain only the settings that differ from Default. Addresses must be
// IP addresses; host names are rejected. Table describes every setting.
package setting

import (
	"net/netip"

	"go.uber.org/zap/zapcore"

	"github.com/dogwoodladder/dogwoodladder/document"
)

// Problems is the error for a rejected file: all problems found, sorted by position.
type Problems = document.Problems

// Settings are the settings of a process.
type Settings struct {
	Instance         string
	AvailabilityZone string

	CallerAddress   netip.AddrPort // listener for callers
	PeerAddress     netip.AddrPort // listener for other instances
	OperatorAddress netip.AddrPort // listener for operators

	LogAddress  netip.AddrPort // the platform's log service
	ListAddress netip.AddrPort // the platform's instance list

	LogLevel zapcore.Level // minimum level that is logged
	Limits   Limits
	Timing   Timing
}

// Default returns the default settings. The identity and the addresses have none.
func Default() Settings {
	return Settings{LogLevel: zapcore.InfoLevel, Limits: defaultLimits(), Timing: defaultTiming()}
}
