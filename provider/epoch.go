package provider

// incarnationBits is the size of the part of an epoch that identifies the
// incarnation of the worker.
const incarnationBits = 32

// NextEpoch returns the epoch that an incarnation of a worker grants after the
// highest known one.
//
// A worker that restarts under its ID remembers no epoch, and the highest one
// that its next owner knows of may be too low. A counter alone could then reach
// an epoch of the incarnation before, and orders meant for that one would be
// carried out.
func NextEpoch(highest uint64, incarnation uint32) uint64 {
	return (highest>>incarnationBits+1)<<incarnationBits | uint64(incarnation)
}

// SameIncarnation reports whether one incarnation of a worker granted both
// epochs. Workers of earlier versions count their epochs from one; their
// incarnations can't be told apart.
func SameIncarnation(a, b uint64) bool {
	if a>>incarnationBits == 0 && b>>incarnationBits == 0 {
		return true
	}
	return uint32(a) == uint32(b)
}
