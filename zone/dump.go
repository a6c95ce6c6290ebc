package zone

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Dump returns the state as readable text with one line for each group,
// instance, worker, live task in the order of submission, and ended task in the
// order of ending. Its size is bounded because the state is.
func (s *State) Dump() string {
	var b strings.Builder
	fmt.Fprintf(&b, "zone %s next=%d time=%s revision=%d tasks=%d queued=%d ended=%d bytes=%d\n",
		s.availabilityZone, s.next, formatTime(s.now), s.revision, len(s.tasks), s.queue.length, len(s.ended), s.bytes)
	fmt.Fprintf(&b, "settings retention=%s quarantine=%s tasks=%d ended=%d bytes=%d\n",
		s.settings.Retention, s.settings.Quarantine, s.settings.MaxTasks, s.settings.MaxEnded, s.settings.MaxBytes)
	for name, g := range s.Groups() {
		fmt.Fprintf(&b, "group %s limit=[%s] used=[%s] queued=%d escrowed=%d parked=%d submitted=%d done=%d cancelled=%d evicted=%d failed=%d\n",
			name, g.Limit, g.Used, g.Queued, g.Escrowed, g.Parked, g.Submitted, g.Done, g.Cancelled, g.Evicted, g.Failed)
	}
	for _, r := range s.sortedIncarnations() {
		r.dump(&b)
	}
	for _, w := range s.sortedWorkers() {
		w.dump(&b)
	}
	for _, t := range slices.Concat(s.liveTasks(), s.ended) {
		s.dumpTask(&b, t)
	}
	return b.String()
}

func (r *incarnation) dump(out io.Writer) {
	fmt.Fprintf(out, "instance %s/%d sequence=%d seen=%s escrow=%d used=[%s] capacity=[%s]",
		r.writer.ID, r.writer.Incarnation, r.sequence, formatTime(r.lastRecordAt), r.escrow.length, r.used, r.capacity)
	if r.fenced {
		fmt.Fprintf(out, " fenced=%d", r.fencedAt)
		writePair(out, "pending", strings.Join(slices.Sorted(maps.Keys(r.workers)), ","))
	}
	fmt.Fprintln(out)
}

func (w *worker) dump(out io.Writer) {
	fmt.Fprintf(out, "worker %s epoch=%d capacity=[%s] recorded=%s", w.id, w.epoch, w.capacity, formatTime(w.recordedAt))
	writePair(out, "rack", w.rack)
	if w.owner != nil {
		fmt.Fprintf(out, " owner=%s/%d", w.owner.writer.ID, w.owner.writer.Incarnation)
	} else {
		fmt.Fprint(out, " lapsed")
	}
	writePair(out, "failed", strings.Join(w.failureStreak, ","))
	if w.isQuarantined() {
		fmt.Fprintf(out, " quarantined=%s", formatTime(w.quarantinedUntil))
	}
	fmt.Fprintln(out)
}

func (s *State) dumpTask(out io.Writer, t *task) {
	fmt.Fprintf(out, "task %s state=%s attempt=%d group=%s need=[%s] submitted=%s",
		t.id, taskStates[t.state], t.attempt, t.group.name, t.need, formatTime(t.submittedAt))
	if t.owner != nil {
		fmt.Fprintf(out, " owner=%s/%d", t.owner.writer.ID, t.owner.writer.Incarnation)
	}
	writePair(out, "job", t.job)
	writePair(out, "command", t.command)
	if t.duration > 0 {
		fmt.Fprintf(out, " duration=%s", t.duration)
	}
	if t.declared {
		fmt.Fprint(out, " declared")
	}
	if t.urgent {
		fmt.Fprint(out, " urgent")
	}
	writePair(out, "checkpoint", t.checkpoint)
	writePair(out, "worker", t.worker)
	for _, w := range s.failedOn[t] {
		writePair(out, "failed_on", w.id)
	}
	writePair(out, "note", t.message)
	if t.endedAt != 0 {
		fmt.Fprintf(out, " ended=%s", formatTime(t.endedAt))
	}
	fmt.Fprintln(out)
}

func writePair(out io.Writer, key, value string) {
	if value != "" {
		fmt.Fprintf(out, " %s=%q", key, value)
	}
}

func formatTime(micro int64) string {
	return time.UnixMicro(micro).UTC().Format(time.RFC3339Nano)
}
