package readers

import "time"

// stream is what the readers follow. Offsets are bytes.
type stream interface {
	// page returns the size of an answer from an offset.
	page(from float64, now time.Duration, limit float64) float64
	// lag returns the time since the first byte after an offset was written.
	lag(offset float64, now time.Duration) time.Duration
	// end returns when the last byte is written, zero for a stream without an end.
	end() time.Duration
}

// steadyStream is written at a rate in bytes a second.
type steadyStream float64

func (s steadyStream) page(from float64, now time.Duration, limit float64) float64 {
	return min(limit, float64(s)*now.Seconds()-from)
}

func (s steadyStream) lag(offset float64, now time.Duration) time.Duration {
	return now - time.Duration(offset/float64(s)*float64(time.Second))
}

func (steadyStream) end() time.Duration { return 0 }

// versionStream has records of one size that are written at intervals.
type versionStream struct {
	number int
	bytes  float64
	gap    time.Duration
}

// firstVersion is when the first record is written.
const firstVersion = outageStart

func (s versionStream) writtenAt(record int) time.Duration {
	return firstVersion + time.Duration(record)*s.gap
}

// written returns how many records have been written.
func (s versionStream) written(now time.Duration) int {
	n := 0
	for n < s.number && s.writtenAt(n) <= now {
		n++
	}
	return n
}

// page holds whole records, and at least one if there is one.
func (s versionStream) page(from float64, now time.Duration, limit float64) float64 {
	left := float64(s.written(now))*s.bytes - from
	return min(left, max(s.bytes, float64(int(limit/s.bytes))*s.bytes))
}

func (s versionStream) lag(offset float64, now time.Duration) time.Duration {
	read := int(offset / s.bytes)
	if read >= s.written(now) {
		return 0
	}
	return now - s.writtenAt(read)
}

func (s versionStream) end() time.Duration { return s.writtenAt(s.number - 1) }
