// Package setting reads the settings file of one daemon process: who it is,
// where it listens, where the platform is, and its timing.
//
// Usage:
//
//	s, err := setting.Parse("edge-1.yaml", data)
//	if err != nil {
//		return err // one line for each problem: file:line:column: reason
//	}
//	listener, err := net.Listen("tcp", s.Caller.String())
//
// A file names only what differs from Default. Addresses are IP numbers; a
// host name is refused. Table describes every setting.
package setting

import (
	"net/netip"

	"go.uber.org/zap/zapcore"

	"github.com/dogwoodladder/dogwoodladder/document"
)

// Problems is the error of a refused file: every problem found, sorted by
// place.
type Problems = document.Problems

// Settings is what one process is told at its start.
type Settings struct {
	Instance         string
	AvailabilityZone string

	Caller   netip.AddrPort // listener for callers
	Peer     netip.AddrPort // listener for other instances
	Operator netip.AddrPort // listener for operators

	Log  netip.AddrPort // the platform's log service
	List netip.AddrPort // the platform's instance list

	Logs   zapcore.Level // least level that is logged
	Timing Timing
}

// Default returns the settings that a file needn't name. The identity and
// the addresses have no default.
func Default() Settings {
	return Settings{Logs: zapcore.InfoLevel, Timing: defaultTiming()}
}
