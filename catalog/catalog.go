// Package catalog folds keyed streams into the state of all jobs. Any instance writes
// accepted and cancelled jobs to stream Accepts, or has an aggregator write them to stream
// Aggregated; the owner of the cell writes their progress to stream Progress.
//
// Usage:
//
//	c := catalog.New()
//	c.Accept(record)                    // read from stream catalog.Accepts
//	c.AcceptAggregated(record)          // read from stream catalog.Aggregated
//	c.Progress(record)                  // read from stream catalog.Progress
//	c.Written(catalog.Accepts, record)  // written by this instance, before it is read
//	state, known := c.State(id)
//
// Jobs and their progress have different keys. So the result doesn't depend on the
// order in which the streams are read, and an accept that is written twice, or late,
// never replaces the progress of a job that has run since. Accepts and Aggregated have
// the same keys: a job or a cancellation exists while its key is in either of them. A
// Catalog is safe for concurrent use.
package catalog

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/dogwoodladder/dogwoodladder/fault"
	"github.com/dogwoodladder/dogwoodladder/job"
	"github.com/dogwoodladder/dogwoodladder/overload"
	"github.com/dogwoodladder/dogwoodladder/progress"
	"github.com/dogwoodladder/dogwoodladder/provider"
)

// Streams that are folded.
const (
	Accepts    = "jobs"       // jobs and cancellations, written by any instance
	Aggregated = "aggregated" // jobs and cancellations, written by aggregators for other instances
	Progress   = "progress"   // written by the owner alone, fenced
)

// sources is a set of the streams that have a key.
type sources uint8

const (
	inAccepts sources = 1 << iota
	inAggregated
)

// Prefixes of keys.
const (
	acceptKey   = "a/"
	cancelKey   = "c/"
	progressKey = "p/"
	hostKey     = "w/"
	waveKey     = "v/"
	ownerKey    = "owner"
	learnedKey  = "learned"
	backlogKey  = "backlog"
	crashedKey  = "crashed"
)

// Entry is the state of one job. Job or Progress is nil until its record was read.
type Entry struct {
	Job       *job.Job
	Cancelled bool
	Progress  *progress.Progress

	jobIn    sources // streams that have the job
	cancelIn sources // streams that have the cancellation
	isRead   bool    // whether the job was read from a stream
}

// TermSpacing is the distance between the terms of successive owners. An owner uses the
// numbers from its term up to the next one as fencing tokens.
const TermSpacing = 1 << 12

// NextTerm returns the term of the next owner.
func NextTerm(term uint64) uint64 {
	return (term/TermSpacing + 1) * TermSpacing
}

// Owner is the record of the cell's owner. An owner that leaves sets Leaving, so that
// others needn't wait until its heartbeats time out.
type Owner struct {
	Term       uint64 `cbor:"1,keyasint"`
	Instance   string `cbor:"2,keyasint"`
	Leaving    bool   `cbor:"3,keyasint,omitempty"`
	Heartbeats uint64 `cbor:"4,keyasint,omitempty"` // counts the owner's heartbeats
	Nonce      uint64 `cbor:"5,keyasint,omitempty"` // identifies the process, as a restart keeps the Instance
	Sequence   uint64 `cbor:"6,keyasint,omitempty"` // sequence number of the write that claimed the term
	// Settled means, in the record of an owner that leaves, that none of its starts is under way
	// or stray, and in a claim, that the owner before left so.
	Settled bool `cbor:"7,keyasint,omitempty"`
	// RecordsStarts means that the last starts of all lasting tasks are on record. An owner of a
	// version that doesn't record them leaves it out.
	RecordsStarts bool `cbor:"8,keyasint,omitempty"`
}

// Catalog holds the state that results from the records read so far.
type Catalog struct {
	mu      sync.RWMutex
	entries map[string]*Entry
	hosts   map[string]provider.Host
	owner   Owner
	learned []byte
	backlog backlogRecord
	crashed map[string]uint64 // terms by incarnations of workers; see CrashedRecord
	waves   map[int]Wave
	changed []string // jobs that were accepted or cancelled since the last TakeChanged
	// unmatched is the set of cancelled jobs that aren't on record.
	unmatched map[string]struct{}
}

// New returns an empty Catalog.
func New() *Catalog {
	return &Catalog{
		entries:   make(map[string]*Entry),
		hosts:     make(map[string]provider.Host),
		waves:     make(map[int]Wave),
		unmatched: make(map[string]struct{}),
	}
}

// AcceptRecord returns the record of an accepted job.
func AcceptRecord(j *job.Job) (provider.KeyedRecord, error) {
	data, err := cbor.Marshal(j)
	if err != nil {
		return provider.KeyedRecord{}, fault.Wrap(fault.Internal, err, "record of job %s", j.ID)
	}
	return provider.KeyedRecord{Key: acceptKey + j.ID, Value: data}, nil
}

// CancelRecord returns the record of a cancellation.
func CancelRecord(id string) provider.KeyedRecord {
	return provider.KeyedRecord{Key: cancelKey + id, Value: []byte{1}}
}

// ProgressRecord returns the record of a job's progress.
func ProgressRecord(id string, p *progress.Progress) (provider.KeyedRecord, error) {
	data, err := p.Encode()
	return provider.KeyedRecord{Key: progressKey + id, Value: data}, err
}

// ProgressDeletion returns the record that deletes a job's progress. The job's own
// record must be deleted first.
func ProgressDeletion(id string) provider.KeyedRecord {
	return provider.KeyedRecord{Key: progressKey + id}
}

// DropRecords returns the records that delete a job and its cancellation.
func DropRecords(id string) []provider.KeyedRecord {
	return []provider.KeyedRecord{{Key: acceptKey + id}, CancelDeletion(id)}
}

// CancelDeletion returns the record that deletes the cancellation of a job.
func CancelDeletion(id string) provider.KeyedRecord {
	return provider.KeyedRecord{Key: cancelKey + id}
}

// HostRecord returns the record of a worker on which the owner may start tasks.
// With a nil host it returns the record that deletes the worker.
func HostRecord(id string, h *provider.Host) (provider.KeyedRecord, error) {
	if h == nil {
		return provider.KeyedRecord{Key: hostKey + id}, nil
	}
	data, err := cbor.Marshal(h)
	if err != nil {
		return provider.KeyedRecord{}, fault.Wrap(fault.Internal, err, "record of worker %s", id)
	}
	return provider.KeyedRecord{Key: hostKey + id, Value: data}, nil
}

// OwnerRecord returns the record of the cell's owner.
func OwnerRecord(o Owner) (provider.KeyedRecord, error) {
	data, err := cbor.Marshal(o)
	if err != nil {
		return provider.KeyedRecord{}, fault.Wrap(fault.Internal, err, "record of owner %s", o.Instance)
	}
	return provider.KeyedRecord{Key: ownerKey, Value: data}, nil
}

// Wave is the progress of a wave of machine upkeep.
type Wave struct {
	Begun     []string `cbor:"1,keyasint,omitempty"` // machines whose upkeep has started
	Completed bool     `cbor:"2,keyasint,omitempty"`
}

// WaveRecord returns the record of a wave of upkeep.
func WaveRecord(number int, w Wave) (provider.KeyedRecord, error) {
	data, err := cbor.Marshal(w)
	if err != nil {
		return provider.KeyedRecord{}, fault.Wrap(fault.Internal, err, "record of wave %d", number)
	}
	return provider.KeyedRecord{Key: waveKey + strconv.Itoa(number), Value: data}, nil
}

func (c *Catalog) setWave(name string, value []byte) error {
	number, err := strconv.Atoi(name)
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "wave %q", name)
	}
	var w Wave
	if err := cbor.Unmarshal(value, &w); err != nil {
		return fault.Wrap(fault.Invalid, err, "record of wave %d", number)
	}
	c.waves[number] = w
	return nil
}

// Waves returns the progress of the waves of upkeep by their numbers.
func (c *Catalog) Waves() map[int]Wave {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return maps.Clone(c.waves)
}

// LearnedRecord returns the record of an owner's learned estimates, which its
// successor starts from.
func LearnedRecord(data []byte) provider.KeyedRecord {
	return provider.KeyedRecord{Key: learnedKey, Value: data}
}

// CrashedRecord returns the record of the incarnations of workers that had crashed before
// an owner learned which tasks ran there, each with the term of that owner.
func CrashedRecord(crashed map[string]uint64) (provider.KeyedRecord, error) {
	data, err := cbor.Marshal(crashed)
	if err != nil {
		return provider.KeyedRecord{}, fault.Wrap(fault.Internal, err, "record of crashed workers")
	}
	return provider.KeyedRecord{Key: crashedKey, Value: data}, nil
}

func (c *Catalog) setCrashed(value []byte) error {
	var crashed map[string]uint64
	if err := cbor.Unmarshal(value, &crashed); err != nil {
		return fault.Wrap(fault.Invalid, err, "record of crashed workers")
	}
	c.crashed = crashed
	return nil
}

// Crashed returns the terms of CrashedRecord by incarnation.
func (c *Catalog) Crashed() map[string]uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return maps.Clone(c.crashed)
}

// backlogRecord is the record of an owner's backlog and full pools. Backlog is nil while the
// owner keeps up and no pool is full.
type backlogRecord struct {
	Term    uint64            `cbor:"1,keyasint"`
	Backlog *overload.Backlog `cbor:"2,keyasint,omitempty"`
}

// BacklogRecord returns the record of the backlog and the full pools of a term's owner.
// The backlog is nil if the owner keeps up and no pool is full.
func BacklogRecord(term uint64, b *overload.Backlog) (provider.KeyedRecord, error) {
	data, err := cbor.Marshal(backlogRecord{Term: term, Backlog: b})
	if err != nil {
		return provider.KeyedRecord{}, fault.Wrap(fault.Internal, err, "record of the backlog")
	}
	return provider.KeyedRecord{Key: backlogKey, Value: data}, nil
}

func (c *Catalog) setBacklog(value []byte) error {
	var b backlogRecord
	if err := cbor.Unmarshal(value, &b); err != nil {
		return fault.Wrap(fault.Invalid, err, "record of the backlog")
	}
	c.backlog = b
	return nil
}

// Backlog returns the backlog and the full pools of the current owner. It is nil if the
// owner keeps up and no pool is full, or if it has written no backlog in its term.
func (c *Catalog) Backlog() *overload.Backlog {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.backlog.Term != c.owner.Term {
		return nil
	}
	return c.backlog.Backlog
}

// Learned returns the learned estimates of the last owner, nil if there are none.
func (c *Catalog) Learned() []byte {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.learned
}

// Accept folds a record of stream Accepts. The first accept of a job wins.
func (c *Catalog) Accept(r provider.KeyedRecord) error {
	return c.acceptFrom(inAccepts, r, true)
}

// AcceptAggregated is Accept for a record of stream Aggregated.
func (c *Catalog) AcceptAggregated(r provider.KeyedRecord) error {
	return c.acceptFrom(inAggregated, r, true)
}

// Written folds a record that this instance has written to stream Accepts or Aggregated and
// hasn't read yet. State knows its job at once. TakeChanged and Entries have the job only once
// it is read, since the stream may have a cancellation before it.
func (c *Catalog) Written(stream string, r provider.KeyedRecord) error {
	if stream == Aggregated {
		return c.acceptFrom(inAggregated, r, false)
	}
	return c.acceptFrom(inAccepts, r, false)
}

func (c *Catalog) acceptFrom(source sources, r provider.KeyedRecord, isRead bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case strings.HasPrefix(r.Key, acceptKey):
		return c.accept(source, r.Key[len(acceptKey):], r.Value, isRead)
	case strings.HasPrefix(r.Key, cancelKey):
		c.cancel(source, r.Key[len(cancelKey):], len(r.Value) > 0)
		return nil
	}
	return fault.New(fault.Invalid, "unknown key %q", r.Key)
}

// checkJob validates a job's record. A record of another version or writer may decode
// and yet be invalid, for example with a negative number of tasks or a step that
// depends on a missing one. It would crash each instance that becomes owner, one after
// the other.
func checkJob(id string, j *job.Job) error {
	if j.ID != id {
		return fault.New(fault.Invalid, "record of job %s contains job %q", id, j.ID)
	}
	if err := j.Check(); err != nil {
		return fault.Wrap(fault.Invalid, err, "record of job %s", id)
	}
	return nil
}

func (c *Catalog) accept(source sources, id string, value []byte, isRead bool) error {
	if len(value) == 0 {
		if e := c.entries[id]; e != nil {
			c.dropJob(source, id, e)
		}
		return nil
	}
	if e := c.entries[id]; e != nil && e.Job != nil {
		e.jobIn |= source
		c.markRead(id, e, isRead)
		return nil
	}
	j := &job.Job{}
	if err := cbor.Unmarshal(value, j); err != nil {
		return fault.Wrap(fault.Invalid, err, "record of job %s", id)
	}
	if err := checkJob(id, j); err != nil {
		return err
	}
	e := c.entry(id)
	e.Job = j
	e.jobIn |= source
	if e.Progress != nil {
		e.Progress.Bind(j)
	}
	c.settle(id, e)
	c.markRead(id, e, isRead)
	return nil
}

// markRead marks the job of an entry as changed when it is read for the first time.
func (c *Catalog) markRead(id string, e *Entry, isRead bool) {
	if !isRead || e.isRead {
		return
	}
	e.isRead = true
	c.changed = append(c.changed, id)
}

// dropJob drops a job that was deleted in a stream, with its progress, unless the other
// stream has it.
func (c *Catalog) dropJob(source sources, id string, e *Entry) {
	e.jobIn &^= source
	if e.jobIn != 0 {
		return
	}
	e.Job = nil
	e.isRead = false
	e.Progress = nil
	c.dropCancellation(0, id, e)
}

func (c *Catalog) cancel(source sources, id string, set bool) {
	if !set {
		if e := c.entries[id]; e != nil {
			c.dropCancellation(source, id, e)
		}
		return
	}
	e := c.entry(id)
	e.cancelIn |= source
	if e.Cancelled {
		return
	}
	e.Cancelled = true
	c.settle(id, e)
	if e.isRead {
		c.changed = append(c.changed, id)
	}
}

// dropCancellation drops a cancellation that was deleted in a stream, unless the other stream
// has it. That of a job on record stays in effect: a job is deleted in one stream after the
// other, and a cancelled job must not run in between.
func (c *Catalog) dropCancellation(source sources, id string, e *Entry) {
	e.cancelIn &^= source
	e.Cancelled = e.Cancelled && (e.cancelIn != 0 || e.Job != nil)
	c.settle(id, e)
}

func (c *Catalog) entry(id string) *Entry {
	e := c.entries[id]
	if e == nil {
		e = &Entry{}
		c.entries[id] = e
	}
	return e
}

// Progress folds a record of stream Progress.
func (c *Catalog) Progress(r provider.KeyedRecord) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.Key == ownerKey:
		return c.setOwner(r.Value)
	case r.Key == learnedKey:
		c.learned = r.Value
		return nil
	case r.Key == backlogKey:
		return c.setBacklog(r.Value)
	case r.Key == crashedKey:
		return c.setCrashed(r.Value)
	case strings.HasPrefix(r.Key, progressKey):
		return c.setProgress(r.Key[len(progressKey):], r.Value)
	case strings.HasPrefix(r.Key, waveKey):
		return c.setWave(r.Key[len(waveKey):], r.Value)
	case strings.HasPrefix(r.Key, hostKey):
		return c.setHost(r.Key[len(hostKey):], r.Value)
	}
	return fault.New(fault.Invalid, "unknown key %q", r.Key)
}

func (c *Catalog) setOwner(value []byte) error {
	var o Owner
	if err := cbor.Unmarshal(value, &o); err != nil {
		return fault.Wrap(fault.Invalid, err, "record of the owner")
	}
	c.owner = o
	return nil
}

func (c *Catalog) setProgress(id string, value []byte) error {
	if len(value) == 0 {
		if e := c.entries[id]; e != nil && e.Job == nil {
			e.Progress = nil
			c.settle(id, e)
		}
		return nil
	}
	p, err := progress.Decode(value)
	if err != nil {
		return err
	}
	e := c.entry(id)
	if e.Progress != nil && e.Progress.State.Final() {
		return nil // a final state stays, also if an older record is read again
	}
	if e.Job != nil {
		p.Bind(e.Job)
	}
	e.Progress = p
	return nil
}

func (c *Catalog) setHost(id string, value []byte) error {
	if len(value) == 0 {
		delete(c.hosts, id)
		return nil
	}
	var h provider.Host
	if err := cbor.Unmarshal(value, &h); err != nil {
		return fault.Wrap(fault.Invalid, err, "record of worker %s", id)
	}
	if h.ID != id || h.Address == "" {
		return fault.New(fault.Invalid, "record of worker %s contains worker %q with address %q", id, h.ID, h.Address)
	}
	c.hosts[id] = h
	return nil
}

// RetainAccepts drops the jobs and cancellations whose keys aren't among the records, which
// are the newest of all keys of stream Accepts, unless stream Aggregated has them. A reader
// that was away for longer than the stream retains would otherwise keep jobs that were deleted
// meanwhile, and an owner would run them again.
func (c *Catalog) RetainAccepts(records []provider.KeyedRecord) {
	c.retain(inAccepts, records)
}

// RetainAggregated is RetainAccepts for stream Aggregated.
func (c *Catalog) RetainAggregated(records []provider.KeyedRecord) {
	c.retain(inAggregated, records)
}

func (c *Catalog) retain(source sources, records []provider.KeyedRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := keysOf(records)
	for id, e := range c.entries {
		if !keys[acceptKey+id] {
			e.jobIn &^= source
		}
		if e.jobIn == 0 {
			e.Job = nil
			e.isRead = false
		}
		if !keys[cancelKey+id] {
			e.cancelIn &^= source
		}
		e.Cancelled = e.Cancelled && (e.cancelIn != 0 || e.Job != nil)
		c.settle(id, e)
	}
}

// IsAggregated reports whether stream Aggregated has a job or its cancellation, as far as it
// was read.
func (c *Catalog) IsAggregated(id string) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	e := c.entries[id]
	return e != nil && (e.jobIn|e.cancelIn)&inAggregated != 0
}

// RetainProgress is RetainAccepts for stream Progress.
func (c *Catalog) RetainProgress(records []provider.KeyedRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := keysOf(records)
	for id, e := range c.entries {
		if !keys[progressKey+id] {
			e.Progress = nil
		}
		c.settle(id, e)
	}
	maps.DeleteFunc(c.hosts, func(id string, _ provider.Host) bool { return !keys[hostKey+id] })
	maps.DeleteFunc(c.waves, func(n int, _ Wave) bool { return !keys[waveKey+strconv.Itoa(n)] })
}

func keysOf(records []provider.KeyedRecord) map[string]bool {
	keys := make(map[string]bool, len(records))
	for _, r := range records {
		keys[r.Key] = len(r.Value) > 0
	}
	return keys
}

// settle updates the indexes after a change of an entry, and deletes an empty one.
func (c *Catalog) settle(id string, e *Entry) {
	if e.Job == nil && e.Cancelled {
		c.unmatched[id] = struct{}{}
	} else {
		delete(c.unmatched, id)
	}
	if e.Job == nil && e.Progress == nil && !e.Cancelled {
		delete(c.entries, id)
	}
}

// IsCancelled reports whether the cancellation of a job is on record, whether or not the job is.
func (c *Catalog) IsCancelled(id string) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	e := c.entries[id]
	return e != nil && e.Cancelled
}

// Unmatched returns the jobs whose cancellation is on record without the job. The store may
// still write such a job, which is cancelled then.
func (c *Catalog) Unmatched() []string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return slices.Sorted(maps.Keys(c.unmatched))
}

// UnmatchedCount returns the number of jobs that Unmatched returns.
func (c *Catalog) UnmatchedCount() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.unmatched)
}

// State returns the state of a job, and whether it was accepted. A job whose
// cancellation is on record is cancelled, unless it had ended before.
func (c *Catalog) State(id string) (progress.State, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	e := c.entries[id]
	if e == nil || e.Job == nil {
		return progress.Queued, false
	}
	return e.state(), true
}

func (e *Entry) state() progress.State {
	if e.Progress != nil && e.Progress.State.Final() {
		return e.Progress.State
	}
	if e.Cancelled {
		return progress.Cancelled
	}
	if e.Progress == nil {
		return progress.Queued
	}
	return e.Progress.State
}

// Pending returns the number of a queue's jobs of which no task has started.
func (c *Catalog) Pending(queue string) int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	n := 0
	for _, e := range c.entries {
		if e.Job != nil && e.Job.Queue == queue && e.state() == progress.Queued {
			n++
		}
	}
	return n
}

// Owner returns the owner of the cell as last recorded.
func (c *Catalog) Owner() Owner {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.owner
}

// Hosts returns the workers on which an owner may have started tasks.
func (c *Catalog) Hosts() map[string]provider.Host {
	c.mu.RLock()
	defer c.mu.RUnlock()
	hosts := make(map[string]provider.Host, len(c.hosts))
	for id, h := range c.hosts {
		hosts[id] = h
	}
	return hosts
}

// Entries returns every accepted job that was read. Each Progress is a copy that
// the caller may change.
func (c *Catalog) Entries() (map[string]Entry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries := make(map[string]Entry, len(c.entries))
	for id, e := range c.entries {
		if e.Job == nil || !e.isRead {
			continue
		}
		copied := *e
		p, err := e.copyProgress()
		if err != nil {
			return nil, err
		}
		copied.Progress = p
		entries[id] = copied
	}
	c.changed = nil
	return entries, nil
}

func (e *Entry) copyProgress() (*progress.Progress, error) {
	if e.Progress == nil {
		return progress.New(e.Job), nil
	}
	data, err := e.Progress.Encode()
	if err != nil {
		return nil, err
	}
	p, err := progress.Decode(data)
	if err != nil {
		return nil, err
	}
	p.Bind(e.Job)
	return p, nil
}

// Orphans returns the jobs that have progress on record but no accept record: an owner
// crashed between the deletions. For a reader of all streams there is no other
// cause, since a job's progress is written after the job.
func (c *Catalog) Orphans() []string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var ids []string
	for id, e := range c.entries {
		if e.Job == nil && e.Progress != nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// TakeChanged returns the jobs that were accepted or cancelled since the last
// TakeChanged or Entries.
func (c *Catalog) TakeChanged() []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries := make([]Entry, 0, len(c.changed))
	for _, id := range c.changed {
		if e := c.entries[id]; e != nil && e.Job != nil && e.isRead {
			entries = append(entries, Entry{Job: e.Job, Cancelled: e.Cancelled})
		}
	}
	c.changed = c.changed[:0]
	return entries
}

// Len returns the number of jobs.
func (c *Catalog) Len() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.entries)
}
