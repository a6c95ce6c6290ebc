package daemon

import (
	"syscall"
	"time"

	"github.com/dogwoodladder/dogwoodladder/ingress"
	"github.com/dogwoodladder/dogwoodladder/setting"
)

const (
	filesPart        = 2 // of the files that the process may open, one in so many is for clients
	bufferedPart     = 4 // of the memory of clients, one part in so many is for bodies kept for retries
	maxBufferedBytes = 64 << 20
	maxRequestTime   = 10*time.Minute + 5*time.Second // of gateway's servers
)

// Listeners in the order of listen, and the shares of the limits that are
// reserved for each, so that none can shut out the others.
var (
	listenerNames  = [...]string{"caller", "peer", "operator"}
	listenerShares = [...]float64{0.25, 0.25, 0.25}
)

// newPool returns the bounds of what the clients of all listeners hold. Times
// are bounded by the servers and by the deadlines of requests.
func newPool(l setting.Limits) *ingress.Pool {
	connections := l.Connections
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil {
		connections = int(min(uint64(connections), files.Cur/filesPart))
	}
	return ingress.New(
		ingress.WithMaxConnections(connections),
		ingress.WithMaxBytes(l.Memory),
		ingress.WithProgressTimeout(maxRequestTime),
		ingress.WithBodyTimeout(maxRequestTime),
	)
}
