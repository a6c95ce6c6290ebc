package controller

import "time"

// report takes a worker's usage measurements.
func (c *Controller) report(now time.Time, in Reported) {
}
