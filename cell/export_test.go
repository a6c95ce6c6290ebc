package cell

// Checks returns how many pairs of a step and a worker were checked so far.
func (c *Cell) Checks() uint64 {
	return c.passes.totalChecks
}
